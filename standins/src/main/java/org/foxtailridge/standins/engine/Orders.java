package org.foxtailridge.standins.engine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import org.foxtailridge.standins.engine.OrderMessages.Answer;
import org.foxtailridge.standins.engine.OrderMessages.Order;
import org.foxtailridge.standins.engine.OrderMessages.OrderState;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.weights.LoadRequest;

/** Executes orders, each once, and remembers their states. Used by one thread. */
final class Orders {
    private static final int MAXIMUM_ORDERS = 8_192;
    private static final int MAXIMUM_LOAD_TRIES = 100;
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final EngineSettings mSettings;
    private final Residents mResidents;
    private final WeightLoader mLoader;
    private final EventLoop mLoop;
    private final BiPredicate<String, String> mInUse;
    private final Map<String, OrderState> mStates = new LinkedHashMap<>();
    private final Map<String, Order> mUnloading = new LinkedHashMap<>();
    private String mRole = "both";
    private long mHighestFencing;

    /**
     * Creates the orders of one start of an engine.
     *
     * @param inUse tells whether attempts use a model, or an adapter of it when one is given
     */
    Orders(
            EngineSettings settings,
            Residents residents,
            WeightLoader loader,
            EventLoop loop,
            BiPredicate<String, String> inUse) {
        mSettings = settings;
        mResidents = residents;
        mLoader = loader;
        mLoop = loop;
        mInUse = inUse;
    }

    String role() {
        return mRole;
    }

    long highestFencing() {
        return mHighestFencing;
    }

    OrderState stateOf(String orderId) {
        return mStates.getOrDefault(orderId, OrderState.unknown(orderId));
    }

    /** Accepts or refuses an order. */
    Answer accept(Order order) {
        if (mStates.containsKey(order.orderId())) {
            return new Answer(202, stateOf(order.orderId()));
        }
        if (mSettings.honoursFencing() && order.fencing() < mHighestFencing) {
            return new Answer(409, new OrderMessages.OldFencing("old_fencing", mHighestFencing));
        }
        mHighestFencing = Math.max(mHighestFencing, order.fencing());
        setState(OrderState.running(order.orderId()));
        begin(order);
        OrderState state = stateOf(order.orderId());
        if ("no_memory".equals(state.reason())) {
            return new Answer(507, new OrderMessages.NoMemory("no_memory"));
        }
        return new Answer(202, state);
    }

    /** Finishes the unloads whose model or adapter is no longer in use. */
    void finishUnloads() {
        for (Order order : Map.copyOf(mUnloading).values()) {
            if (!isInUse(order)) {
                mUnloading.remove(order.orderId());
                mResidents.release(order.action().kind(), order.name());
                setState(OrderState.done(order.orderId()));
            }
        }
    }

    private void begin(Order order) {
        switch (order.action()) {
            case LOAD_MODEL, LOAD_ADAPTER -> beginLoad(order);
            case UNLOAD_MODEL, UNLOAD_ADAPTER -> beginUnload(order);
            case SET_ROLE -> {
                mRole = order.name();
                setState(OrderState.done(order.orderId()));
            }
            default -> throw new IllegalStateException("expected a listed action");
        }
    }

    private void beginLoad(Order order) {
        Resident present = mResidents.find(order.action().kind(), order.name()).orElse(null);
        if (present != null) {
            setState(answerToPresent(order, present));
            return;
        }
        boolean orphan =
                order.action() == OrderMessages.Action.LOAD_ADAPTER
                        && mResidents.find(Resident.MODEL, order.model()).isEmpty();
        if (orphan) {
            setState(OrderState.failed(order.orderId(), "model_not_resident"));
            return;
        }
        if (!mResidents.charge(order.asResident(), workingBytesOf(order))) {
            setState(OrderState.failed(order.orderId(), "no_memory"));
            return;
        }
        load(order, 1);
    }

    private static OrderState answerToPresent(Order order, Resident present) {
        boolean same =
                present.state().equals(Resident.RESIDENT)
                        && String.valueOf(order.version()).equals(present.version());
        return same
                ? OrderState.done(order.orderId())
                : OrderState.failed(order.orderId(), "already_" + present.state());
    }

    private static long workingBytesOf(Order order) {
        return order.action() == OrderMessages.Action.LOAD_MODEL ? order.workingBytes() : 0;
    }

    private void load(Order order, int tries) {
        LoadRequest request =
                new LoadRequest(
                        mSettings.name(),
                        order.action().kind(),
                        order.name(),
                        order.version(),
                        order.bytes());
        mLoader.load(request)
                .thenAccept(outcome -> mLoop.execute(() -> endTry(order, tries, outcome)));
    }

    private void endTry(Order order, int tries, WeightLoader.Outcome outcome) {
        String kind = order.action().kind();
        if (outcome == WeightLoader.Outcome.LOADED) {
            boolean stillCharged = mResidents.find(kind, order.name()).isPresent();
            mResidents.setState(kind, order.name(), Resident.RESIDENT);
            setState(
                    stillCharged
                            ? OrderState.done(order.orderId())
                            : OrderState.failed(order.orderId(), "model_unloaded"));
        } else if (tries < MAXIMUM_LOAD_TRIES) {
            mLoop.after(RETRY_DELAY, () -> load(order, tries + 1));
        } else {
            mResidents.release(kind, order.name());
            setState(OrderState.failed(order.orderId(), "weight_store"));
        }
    }

    private void beginUnload(Order order) {
        String kind = order.action().kind();
        Resident present = mResidents.find(kind, order.name()).orElse(null);
        if (present != null && present.state().equals(Resident.LOADING)) {
            setState(OrderState.failed(order.orderId(), "already_loading"));
            return;
        }
        mResidents.setState(kind, order.name(), Resident.UNLOADING);
        mUnloading.put(order.orderId(), order);
        finishUnloads();
    }

    private boolean isInUse(Order order) {
        Resident present = mResidents.find(order.action().kind(), order.name()).orElse(null);
        if (present == null) {
            return false;
        }
        return present.isModel()
                ? mInUse.test(present.name(), null)
                : mInUse.test(present.model(), present.name());
    }

    private void setState(OrderState state) {
        mStates.put(state.orderId(), state);
        if (mStates.size() > MAXIMUM_ORDERS) {
            mStates.remove(mStates.keySet().iterator().next());
        }
    }
}
