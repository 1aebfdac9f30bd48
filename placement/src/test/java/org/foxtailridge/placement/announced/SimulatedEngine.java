package org.foxtailridge.placement.announced;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** An engine that checks no fencing numbers and carries out late orders whose count still fits. */
final class SimulatedEngine {
    private static final long LOAD_MILLISECONDS = 1_500;

    private final String mName;
    private final String mDataCentre;
    private final PoolSize mPool;
    private final Map<String, Set<String>> mHeld = new LinkedHashMap<>();
    private final List<LateOrder> mLate = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private long mStart = 1;
    private long mOrders;
    private String mLoading;
    private long mLoadedAt;

    SimulatedEngine(String name, String dataCentre, PoolSize pool) {
        mName = name;
        mDataCentre = dataCentre;
        mPool = pool;
    }

    void hold(String model) {
        mHeld.put(model, new LinkedHashSet<>());
    }

    String dataCentre() {
        return mDataCentre;
    }

    List<String> violations() {
        return mViolations;
    }

    boolean holds(String model) {
        return mHeld.containsKey(model);
    }

    void restart(long now) {
        mStart = now;
        mOrders = 0;
        mHeld.clear();
        mLoading = null;
    }

    /** Takes an order; a lost one gets no answer and is carried out later or never. */
    ModelOrderAnswer take(ModelOrder order, boolean lost, long now, Random random) {
        if (lost) {
            mLate.add(new LateOrder(order, now + 2_000 + random.nextInt(10_000)));
            return ModelOrderAnswer.LOST;
        }
        return carryOut(order, now);
    }

    void advance(long now) {
        if (mLoading != null && now >= mLoadedAt) {
            mHeld.put(mLoading, new LinkedHashSet<>());
            mLoading = null;
        }
        for (LateOrder late : List.copyOf(mLate)) {
            if (now >= late.atMilliseconds()) {
                mLate.remove(late);
                carryOut(late.order(), now);
            }
        }
    }

    EngineView report() {
        Map<String, List<String>> adapters = new LinkedHashMap<>();
        mHeld.forEach((model, held) -> adapters.put(model, List.copyOf(held)));
        return new EngineView(
                mName,
                mPool.service(),
                mDataCentre,
                mStart,
                true,
                OptionalLong.of(mOrders),
                mLoading != null,
                adapters,
                Set.of(),
                Set.of());
    }

    private ModelOrderAnswer carryOut(ModelOrder order, long now) {
        if (order.expectedOrders() != mOrders || mLoading != null) {
            return ModelOrderAnswer.CONFLICT;
        }
        if (order.adapter().isPresent() && !mHeld.containsKey(order.model())) {
            return ModelOrderAnswer.REFUSED;
        }
        if (order.load() && order.adapter().isEmpty() && mHeld.containsKey(order.model())) {
            return ModelOrderAnswer.HOLDS;
        }
        mOrders++;
        if (order.adapter().isPresent()) {
            changeAdapter(order);
        } else if (order.load()) {
            mLoading = order.model();
            mLoadedAt = now + LOAD_MILLISECONDS;
        } else {
            mHeld.remove(order.model());
        }
        check(order);
        return ModelOrderAnswer.ACCEPTED;
    }

    private void changeAdapter(ModelOrder order) {
        if (order.load()) {
            mHeld.get(order.model()).add(order.adapter().get());
        } else {
            mHeld.get(order.model()).remove(order.adapter().get());
        }
    }

    private void check(ModelOrder order) {
        double used = 0;
        int adapters = 0;
        for (Map.Entry<String, Set<String>> held : mHeld.entrySet()) {
            ModelSize model = mPool.model(held.getKey()).orElseThrow();
            used += model.megabytes() + held.getValue().size() * model.adapterMegabytes();
            adapters += held.getValue().size();
        }
        used += mLoading == null ? 0 : mPool.model(mLoading).orElseThrow().megabytes();
        if (used > mPool.megabytes()) {
            mViolations.add(mName + " was ordered " + order + " and would hold " + used + " MB");
        }
        if (adapters > mPool.adapterPlaces()) {
            mViolations.add(mName + " was ordered " + order + " with " + adapters + " adapters");
        }
    }

    private record LateOrder(ModelOrder order, long atMilliseconds) {}
}
