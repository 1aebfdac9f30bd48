package org.foxtailridge.placement.announced;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What is known and assumed of one engine.
 *
 * <p>Memory is charged before an order to load is sent, and given back only once the engine shows
 * that it holds less. Of all orders that name the same number of accepted orders an engine carries
 * out one at most; an order without an answer stays charged until a later number is seen, or until
 * it can't be carried out any more.
 */
final class EngineState {
    private final String mName;
    private EngineView mView;
    private long mOrders;
    private final Map<String, Map<String, Long>> mHeld = new LinkedHashMap<>();
    private ModelOrder mInFlight;
    private long mInFlightSince;
    private final List<Doubt> mDoubts = new ArrayList<>();
    private String mLoading;
    private String mUnloading;
    private boolean mCountDoubtful;
    private long mRestartedMilliseconds = Long.MIN_VALUE / 2;

    EngineState(EngineView view) {
        mName = view.engine();
        mView = view;
        adopt(view);
    }

    String name() {
        return mName;
    }

    EngineView view() {
        return mView;
    }

    /** Takes what the engine says; older statements change nothing. */
    void update(EngineView view, long now) {
        if (view.start() > mView.start()) {
            restart(view, now);
            return;
        }
        if (view.start() < mView.start()) {
            return;
        }
        boolean asked = mCountDoubtful && view.busy().isPresent();
        boolean current = view.ordersAccepted() >= mOrders || asked;
        mCountDoubtful &= !asked;
        mView = current ? view : withUsable(view.usable());
        if (current) {
            resolveDoubts(view);
            adopt(view);
        }
    }

    /** Drops orders that can't be carried out any more; the one that may have been is charged. */
    private void resolveDoubts(EngineView view) {
        for (Doubt doubt : List.copyOf(mDoubts)) {
            if (doubt.expectedOrders() < view.ordersAccepted()) {
                mDoubts.remove(doubt);
                boolean maybeUnderWay = doubt.expectedOrders() == view.ordersAccepted() - 1;
                if (maybeUnderWay && doubt.order().adapter().isEmpty()) {
                    mLoading = doubt.order().load() ? doubt.order().model() : mLoading;
                }
            }
        }
    }

    private EngineView withUsable(boolean usable) {
        return new EngineView(
                mView.engine(),
                mView.service(),
                mView.start(),
                usable,
                mView.ordersAccepted(),
                mView.busy(),
                mView.adapters(),
                mView.inHostMemory(),
                mView.onDisk());
    }

    private void restart(EngineView view, long now) {
        mRestartedMilliseconds = now;
        mInFlight = null;
        mLoading = null;
        mUnloading = null;
        mCountDoubtful = false;
        mHeld.clear();
        mView = view;
        adopt(view);
    }

    private void adopt(EngineView view) {
        boolean settled = view.busy().isPresent() && !view.busy().get();
        mOrders = view.ordersAccepted();
        if (mLoading != null && (settled || view.adapters().containsKey(mLoading))) {
            mLoading = null;
        }
        if (mUnloading != null && (settled || !view.adapters().containsKey(mUnloading))) {
            mUnloading = null;
        }
        Map<String, Map<String, Long>> former = new HashMap<>(mHeld);
        mHeld.clear();
        view.adapters()
                .forEach(
                        (model, adapters) -> {
                            Map<String, Long> uses = new LinkedHashMap<>();
                            Map<String, Long> before = former.getOrDefault(model, Map.of());
                            adapters.forEach(
                                    adapter -> uses.put(adapter, before.getOrDefault(adapter, 0L)));
                            mHeld.put(model, uses);
                        });
    }

    /** Returns the number of orders that the engine is known to have accepted. */
    long orders() {
        return mOrders;
    }

    boolean holds(String model) {
        return mHeld.containsKey(model);
    }

    Set<String> models() {
        return mHeld.keySet();
    }

    boolean holdsAdapter(String model, String adapter) {
        return mHeld.getOrDefault(model, Map.of()).containsKey(adapter);
    }

    Map<String, Long> adapters(String model) {
        return mHeld.getOrDefault(model, Map.of());
    }

    int adapterCount() {
        return mHeld.values().stream().mapToInt(Map::size).sum() + doubtfulAdapters();
    }

    void adapterUsed(String model, String adapter, long now) {
        Map<String, Long> adapters = mHeld.get(model);
        if (adapters != null) {
            adapters.replace(adapter, now);
        }
    }

    /** Returns whether the engine serves a model and is not about to drop it. */
    boolean serves(String model) {
        return mView.usable() && holds(model) && !model.equals(mUnloading);
    }

    boolean isLoading(String model) {
        return model.equals(mLoading) || isOrdered(model, true);
    }

    boolean isUnloading(String model) {
        return model.equals(mUnloading) || isOrdered(model, false);
    }

    private boolean isOrdered(String model, boolean load) {
        return mInFlight != null
                && mInFlight.load() == load
                && mInFlight.adapter().isEmpty()
                && mInFlight.model().equals(model);
    }

    /** Returns whether a model order may be sent now. */
    boolean isIdle() {
        boolean saysBusy = mView.busy().orElse(false);
        return mInFlight == null && mLoading == null && mUnloading == null && !saysBusy;
    }

    /** Returns whether an adapter order may be sent now. */
    boolean mayOrderAdapter() {
        return mInFlight == null;
    }

    boolean hasRestartedWithin(long milliseconds, long now) {
        return now - mRestartedMilliseconds < milliseconds;
    }

    ModelOrder inFlight() {
        return mInFlight;
    }

    long inFlightSince() {
        return mInFlightSince;
    }

    void sent(ModelOrder order, long now) {
        mInFlight = order;
        mInFlightSince = now;
    }

    /** Takes the answer to the order in flight. */
    void answered(ModelOrderAnswer answer, long now) {
        ModelOrder order = mInFlight;
        mInFlight = null;
        switch (answer) {
            case ACCEPTED -> accepted(order, now);
            case HOLDS -> held(order, now);
            case LOST -> mDoubts.add(new Doubt(order, now));
            // The count of orders was wrong, so that the next report of the engine replaces it.
            case CONFLICT, REFUSED -> mCountDoubtful = true;
            case NOT_SENT -> {}
            default -> throw new IllegalArgumentException("unknown answer " + answer);
        }
    }

    void forgetDoubtsBefore(long milliseconds) {
        mDoubts.removeIf(doubt -> doubt.sentMilliseconds() < milliseconds);
    }

    boolean isDoubtful() {
        return !mDoubts.isEmpty();
    }

    /** Returns the memory that is or may be in use, in megabytes. */
    double chargedMegabytes(PoolSize pool) {
        double charged = 0;
        for (Map.Entry<String, Map<String, Long>> held : mHeld.entrySet()) {
            charged += sizeOf(pool, held.getKey(), held.getValue().size());
        }
        if (mLoading != null && !holds(mLoading)) {
            charged += sizeOf(pool, mLoading, 0);
        }
        if (mInFlight != null && mInFlight.load()) {
            charged += sizeOf(pool, mInFlight);
        }
        for (Doubt doubt : mDoubts) {
            charged += doubt.order().load() ? sizeOf(pool, doubt.order()) : 0;
        }
        return charged;
    }

    private void accepted(ModelOrder order, long now) {
        mOrders = Math.max(mOrders, order.expectedOrders() + 1);
        if (order.adapter().isPresent()) {
            changeAdapter(order, now);
        } else if (order.load()) {
            mLoading = order.model();
        } else {
            mUnloading = order.model();
        }
    }

    private void held(ModelOrder order, long now) {
        if (order.adapter().isPresent()) {
            changeAdapter(order, now);
            if (!order.load()) {
                mOrders = Math.max(mOrders, order.expectedOrders() + 1);
            }
        }
    }

    private void changeAdapter(ModelOrder order, long now) {
        Map<String, Long> adapters = mHeld.get(order.model());
        if (adapters != null && order.load()) {
            adapters.put(order.adapter().get(), now);
        } else if (adapters != null) {
            adapters.remove(order.adapter().get());
        }
    }

    private int doubtfulAdapters() {
        return (int)
                mDoubts.stream()
                        .filter(doubt -> doubt.order().load())
                        .filter(doubt -> doubt.order().adapter().isPresent())
                        .count();
    }

    private static double sizeOf(PoolSize pool, ModelOrder order) {
        Optional<ModelSize> model = pool.model(order.model());
        if (model.isEmpty()) {
            return 0;
        }
        return order.adapter().isPresent()
                ? model.get().adapterMegabytes()
                : model.get().megabytes();
    }

    private static double sizeOf(PoolSize pool, String name, int adapters) {
        return pool.model(name)
                .map(model -> model.megabytes() + adapters * model.adapterMegabytes())
                .orElse(0.0);
    }

    /** An order without an answer. */
    private record Doubt(ModelOrder order, long sentMilliseconds) {
        long expectedOrders() {
            return order.expectedOrders();
        }
    }
}
