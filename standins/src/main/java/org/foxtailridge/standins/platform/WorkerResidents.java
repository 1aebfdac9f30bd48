package org.foxtailridge.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.foxtailridge.standins.time.EventLoop;

/** Models and adapters that a worker holds, and the orders that change them. */
final class WorkerResidents {
    private static final int HELD_ALREADY = 200;
    private static final int ACCEPTED = 202;
    private static final int INCOMPLETE = 400;
    private static final int CONFLICT = 409;

    private final EventLoop mLoop;
    private final Duration mLoadTime;
    private final TreeMap<String, TreeSet<String>> mModels = new TreeMap<>();
    private long mOrders;
    private int mPeak;
    private boolean mBusy;

    WorkerResidents(EventLoop loop, Duration loadTime, List<String> models) {
        mLoop = loop;
        mLoadTime = loadTime;
        models.forEach(model -> mModels.put(model, new TreeSet<>()));
        mPeak = mModels.size();
    }

    /** Returns whether a model, or an adapter behind a slash, is held. */
    boolean holds(String model) {
        int slash = model.indexOf('/');
        String name = slash < 0 ? model : model.substring(0, slash);
        Set<String> adapters = mModels.get(name);
        return adapters != null && (slash < 0 || adapters.contains(model.substring(slash + 1)));
    }

    Set<String> names() {
        return Set.copyOf(mModels.keySet());
    }

    /** Returns the most models that were ever held or on their way. */
    int peak() {
        return mPeak;
    }

    boolean isBusy() {
        return mBusy;
    }

    /** Returns the number of orders accepted. */
    long orders() {
        return mOrders;
    }

    List<WorkerMessages.Held> held() {
        List<WorkerMessages.Held> held = new ArrayList<>();
        for (Map.Entry<String, TreeSet<String>> model : mModels.entrySet()) {
            held.add(new WorkerMessages.Held(model.getKey(), 1, List.copyOf(model.getValue())));
        }
        return held;
    }

    /**
     * Takes an order and returns the status that answers it.
     *
     * @param done run once a model has been loaded or dropped
     */
    int order(WorkerMessages.Order order, Runnable done) {
        if (order.holder() == null || order.fencing() == null || order.model() == null) {
            return INCOMPLETE;
        }
        boolean another = order.expect() != null && order.expect() != mOrders;
        if (another || mBusy) {
            return CONFLICT;
        }
        boolean loads = Objects.equals(order.op(), "load");
        String subject =
                order.adapter() == null ? order.model() : order.model() + '/' + order.adapter();
        if (holds(subject) == loads) {
            return HELD_ALREADY;
        }
        mOrders++;
        if (order.adapter() == null) {
            changeModel(order.model(), loads, done);
        } else {
            changeAdapter(order.model(), order.adapter(), loads);
        }
        return ACCEPTED;
    }

    private void changeAdapter(String model, String adapter, boolean loads) {
        Set<String> adapters = mModels.getOrDefault(model, new TreeSet<>());
        if (loads) {
            adapters.add(adapter);
        } else {
            adapters.remove(adapter);
        }
    }

    private void changeModel(String model, boolean loads, Runnable done) {
        mBusy = true;
        mPeak = Math.max(mPeak, mModels.size() + (loads ? 1 : 0));
        mLoop.after(
                mLoadTime,
                () -> {
                    mBusy = false;
                    if (loads) {
                        mModels.put(model, new TreeSet<>());
                    } else {
                        mModels.remove(model);
                    }
                    done.run();
                });
    }
}
