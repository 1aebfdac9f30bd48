package org.foxtailridge.placement.announced;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
    // Announcements come every second or so and lag; reports are some hundred milliseconds old.
    private static final long ANNOUNCEMENT_LAG_MILLISECONDS = 3_000;
    private static final long ADAPTER_IN_USE_MILLISECONDS = 400;
    // An engine that crashes is announced for some seconds more; one answer may be lost.
    private static final int MOST_UNANSWERED = 3;

    private final String mName;
    private final Map<String, Map<String, Long>> mHeld = new LinkedHashMap<>();
    private final Map<String, Long> mAdaptersInUse = new HashMap<>();
    private final List<Doubt> mDoubts = new ArrayList<>();
    private EngineView mView;
    private OptionalLong mOrders = OptionalLong.empty();
    private ModelOrder mInFlight;
    private int mUnanswered;
    private long mInFlightSince;
    private String mLoading;
    private String mUnloading;
    private long mOrderedMilliseconds = Long.MIN_VALUE / 2;
    private long mRestartedMilliseconds = Long.MIN_VALUE / 2;

    EngineState(EngineView view) {
        mName = view.engine();
        mView = view;
        mOrders = view.ordersAccepted();
        adopt(view);
    }

    String name() {
        return mName;
    }

    EngineView view() {
        return mView;
    }

    /** Takes what the engine says; what is older than an accepted order changes nothing. */
    void update(EngineView view, long now) {
        if (view.start() < mView.start()) {
            return;
        }
        if (view.start() > mView.start()) {
            restart(view, now);
        } else if (view.ordersAccepted().isPresent()) {
            takeReport(view);
        } else {
            takeAnnouncement(view, now);
        }
    }

    private void takeReport(EngineView view) {
        mUnanswered = 0;
        long orders = view.ordersAccepted().getAsLong();
        if (mOrders.isPresent() && orders < mOrders.getAsLong()) {
            return;
        }
        resolveDoubts(view, orders);
        mOrders = view.ordersAccepted();
        mView = view.withUsable(mView.usable());
        adopt(view);
    }

    /**
     * Takes an announcement, which may be seconds older than the last report. Once a report is
     * known, nothing but this node's orders changes what the engine holds.
     */
    private void takeAnnouncement(EngineView view, long now) {
        boolean current = now - mOrderedMilliseconds > ANNOUNCEMENT_LAG_MILLISECONDS;
        boolean settled = mInFlight == null && mLoading == null && mUnloading == null;
        if (mOrders.isEmpty() && current && settled) {
            mView = view;
            adopt(view);
        } else {
            mView = mView.withUsable(view.usable());
        }
    }

    private void restart(EngineView view, long now) {
        mRestartedMilliseconds = now;
        mUnanswered = 0;
        mInFlight = null;
        mLoading = null;
        mUnloading = null;
        mOrders = view.ordersAccepted();
        mHeld.clear();
        mAdaptersInUse.clear();
        mView = view;
        adopt(view);
    }

    /** Drops orders that can't be carried out any more; the one that may have been is charged. */
    private void resolveDoubts(EngineView view, long orders) {
        for (Doubt doubt : List.copyOf(mDoubts)) {
            long expected = doubt.order().expectedOrders();
            if (expected < orders) {
                mDoubts.remove(doubt);
                boolean maybeUnderWay = view.busy() && expected == orders - 1;
                if (maybeUnderWay && doubt.order().adapter().isEmpty()) {
                    mLoading = doubt.order().load() ? doubt.order().model() : mLoading;
                }
            }
        }
    }

    private void adopt(EngineView view) {
        boolean settled = view.ordersAccepted().isPresent() && !view.busy();
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
                        (model, adapters) ->
                                mHeld.put(
                                        model,
                                        uses(adapters, former.getOrDefault(model, Map.of()))));
    }

    private static Map<String, Long> uses(List<String> adapters, Map<String, Long> former) {
        Map<String, Long> uses = new LinkedHashMap<>();
        adapters.forEach(adapter -> uses.put(adapter, former.getOrDefault(adapter, 0L)));
        return uses;
    }

    /** Returns the model that the engine is loading; empty when it loads none. */
    Optional<String> loading() {
        return Optional.ofNullable(mLoading);
    }

    /** Returns the orders that the engine has accepted; empty until it was asked. */
    OptionalLong orders() {
        return mOrders;
    }

    /** Forgets the number of orders: another node may have given some. */
    void forgetOrders() {
        mOrders = OptionalLong.empty();
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

    /** Returns the adapters of a model in memory, with the instants at which they were wanted. */
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

    /** Returns whether requests were using an adapter a moment ago, so that it can't be dropped. */
    boolean isAdapterInUse(String model, String adapter, long now) {
        Long refused = mAdaptersInUse.get(AnnouncedPlacement.adapterName(model, adapter));
        return refused != null && now - refused < ADAPTER_IN_USE_MILLISECONDS;
    }

    /** Returns whether the engine serves a model and is not about to drop it. */
    boolean serves(String model) {
        return isUsable() && holds(model) && !isUnloading(model);
    }

    boolean isLoading(String model) {
        return isUsable() && (model.equals(mLoading) || isOrdered(model, true));
    }

    /** Returns whether the engine takes work, as far as its announcement and questions tell. */
    boolean isUsable() {
        return mView.usable() && mUnanswered < MOST_UNANSWERED;
    }

    /** Notes that the engine did not answer when asked for a report. */
    void noReport() {
        mUnanswered++;
    }

    private boolean isUnloading(String model) {
        return model.equals(mUnloading) || isOrdered(model, false);
    }

    private boolean isOrdered(String model, boolean load) {
        return mInFlight != null
                && mInFlight.load() == load
                && mInFlight.adapter().isEmpty()
                && mInFlight.model().equals(model);
    }

    /** Returns whether an order may be sent now; engines carry out one at a time. */
    boolean isIdle() {
        return mInFlight == null && mOrders.isPresent() && !isChangingModels();
    }

    /** Returns whether the engine loads or drops a model, and takes no adapter meanwhile. */
    boolean isChangingModels() {
        boolean ordered = mInFlight != null && mInFlight.adapter().isEmpty();
        return ordered || mLoading != null || mUnloading != null || mView.busy();
    }

    /** Returns whether the engine is to be asked what it holds. */
    boolean isUnsettled() {
        return mInFlight == null && (mOrders.isEmpty() || isChangingModels());
    }

    /**
     * Returns whether the engine may have had a life before, under the same name, after an instant.
     *
     * @param milliseconds the instant
     * @param observedSinceMilliseconds since when its restarts have been seen; before, every start
     *     may have been one
     */
    boolean hasRestartedSince(long milliseconds, long observedSinceMilliseconds) {
        boolean startedUnseen =
                mView.start() < observedSinceMilliseconds && mView.start() > milliseconds;
        return mRestartedMilliseconds > milliseconds || startedUnseen;
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
        mOrderedMilliseconds = now;
    }

    /** Takes the answer to the order in flight. */
    void answered(ModelOrderAnswer answer, long now) {
        ModelOrder order = mInFlight;
        mInFlight = null;
        switch (answer) {
            case ACCEPTED -> accepted(order, now);
            case HOLDS -> held(order, now);
            case LOST -> {
                mDoubts.add(new Doubt(order, now));
                mOrders = OptionalLong.empty();
            }
            case CONFLICT, REFUSED -> refused(order, now);
            case NOT_SENT -> {}
            default -> throw new IllegalArgumentException("unknown answer " + answer);
        }
    }

    void forgetDoubtsBefore(long milliseconds) {
        mDoubts.removeIf(doubt -> doubt.sentMilliseconds() < milliseconds);
    }

    /**
     * Returns whether an order about a model may still be carried out. One about an adapter stands
     * in nobody's way: it is charged, and any other order takes its number.
     */
    boolean isDoubtful() {
        return mDoubts.stream().anyMatch(doubt -> doubt.order().adapter().isEmpty());
    }

    /**
     * Returns the order about a model that has no answer and was not carried out so far. Sent once
     * more, it is carried out once at most, as both name the same number of accepted orders.
     */
    Optional<ModelOrder> unansweredOrder() {
        if (!isIdle()) {
            return Optional.empty();
        }
        return mDoubts.stream()
                .map(Doubt::order)
                .filter(order -> order.adapter().isEmpty())
                .filter(order -> order.expectedOrders() == mOrders.getAsLong())
                .findFirst();
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
        mOrders = OptionalLong.of(order.expectedOrders() + 1);
        // The engine has counted past them, so that it won't carry them out any more.
        mDoubts.removeIf(doubt -> doubt.order().expectedOrders() <= order.expectedOrders());
        if (order.adapter().isPresent()) {
            changeAdapter(order, now);
        } else if (order.load()) {
            mLoading = order.model();
        } else {
            mUnloading = order.model();
        }
    }

    /** Only some orders that hold already count as accepted, so that the engine is asked. */
    private void held(ModelOrder order, long now) {
        mOrders = OptionalLong.empty();
        if (order.adapter().isPresent()) {
            changeAdapter(order, now);
        }
    }

    /** Either the number of orders was wrong, or requests use what was to be dropped. */
    private void refused(ModelOrder order, long now) {
        mOrders = OptionalLong.empty();
        if (order.adapter().isPresent() && !order.load()) {
            mAdaptersInUse.put(
                    AnnouncedPlacement.adapterName(order.model(), order.adapter().get()), now);
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
    private record Doubt(ModelOrder order, long sentMilliseconds) {}
}
