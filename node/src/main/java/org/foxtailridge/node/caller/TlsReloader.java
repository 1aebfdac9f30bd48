package org.foxtailridge.node.caller;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Reads certificate and key anew when their files change; bad files leave the former in use. */
final class TlsReloader extends AbstractLifeCycle {
    private static final Logger LOGGER = LogManager.getLogger(TlsReloader.class);
    private static final long INTERVAL_SECONDS = 2;

    private final TlsIdentity mIdentity;
    private final SslContextFactory.Server mTls;
    private ScheduledExecutorService mExecutor;

    TlsReloader(TlsIdentity identity, SslContextFactory.Server tls) {
        mIdentity = identity;
        mTls = tls;
    }

    @Override
    protected void doStart() {
        mExecutor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "tls-reload");
                            thread.setDaemon(true);
                            return thread;
                        });
        mExecutor.scheduleWithFixedDelay(
                this::reloadIfChanged, INTERVAL_SECONDS, INTERVAL_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    protected void doStop() {
        mExecutor.shutdownNow();
    }

    private void reloadIfChanged() {
        try {
            if (mIdentity.hasChanged()) {
                mTls.reload(tls -> mIdentity.applyTo((SslContextFactory.Server) tls));
                LOGGER.info("certificate and key were read anew");
            }
        } catch (Exception failure) {
            LOGGER.warn("certificate and key could not be read anew", failure);
        }
    }
}
