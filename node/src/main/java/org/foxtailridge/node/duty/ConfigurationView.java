package org.foxtailridge.node.duty;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.configuration.model.Configuration;

/** The configuration in force on this node; its offset never falls. */
@Singleton
public final class ConfigurationView {
    private final AtomicReference<Configuration> mCurrent =
            new AtomicReference<>(Configuration.empty());
    private final List<ConfigurationListener> mListeners = new CopyOnWriteArrayList<>();

    /** Creates a view without configuration. */
    @Inject
    public ConfigurationView() {}

    /** Returns the configuration in force. */
    public Configuration current() {
        return mCurrent.get();
    }

    /** Returns whether any record of the log is in force. */
    public boolean isReady() {
        return mCurrent.get().offset() >= 0;
    }

    /** Adds a listener; it hears the configuration in force at once and then every change. */
    public void listen(ConfigurationListener listener) {
        mListeners.add(listener);
        if (isReady()) {
            listener.onConfiguration(Configuration.empty(), mCurrent.get());
        }
    }

    /** Puts a configuration in force; called by one thread. An older one is ignored. */
    void advance(Configuration next) {
        Configuration former = mCurrent.get();
        if (next.offset() <= former.offset()) {
            return;
        }
        mCurrent.set(next);
        mListeners.forEach(listener -> listener.onConfiguration(former, next));
    }
}
