package org.foxtailridge.placement.announced;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** What the engines of one service have in common, as placement sees it. Immutable. */
public final class PoolSize {
    private final String mService;
    private final int mSlots;
    private final double mMegabytes;
    private final int mAdapterPlaces;
    private final double mStoreLoadsPerSecond;
    private final List<ModelSize> mModels;
    private final Map<String, ModelSize> mModelsByName = new HashMap<>();
    private final double mLargestMegabytes;

    /**
     * Creates the size of a pool.
     *
     * @param service name of the service
     * @param slots requests that one engine runs at once
     * @param megabytes memory of one engine for weights and adapters
     * @param adapterPlaces adapters that one engine holds
     * @param storeLoadsPerSecond loads that the weight store allows over all engines
     * @param models listed models; copied
     */
    public PoolSize(
            String service,
            int slots,
            double megabytes,
            int adapterPlaces,
            double storeLoadsPerSecond,
            List<ModelSize> models) {
        mService = Objects.requireNonNull(service, "service");
        mSlots = slots;
        mMegabytes = megabytes;
        mAdapterPlaces = adapterPlaces;
        mStoreLoadsPerSecond = storeLoadsPerSecond;
        mModels = List.copyOf(models);
        mModels.forEach(model -> mModelsByName.putIfAbsent(model.name(), model));
        mLargestMegabytes = mModels.stream().mapToDouble(ModelSize::megabytes).max().orElse(0);
    }

    public String service() {
        return mService;
    }

    public int slots() {
        return mSlots;
    }

    public double megabytes() {
        return mMegabytes;
    }

    public int adapterPlaces() {
        return mAdapterPlaces;
    }

    public double storeLoadsPerSecond() {
        return mStoreLoadsPerSecond;
    }

    public List<ModelSize> models() {
        return mModels;
    }

    /** Returns a listed model. */
    public Optional<ModelSize> model(String name) {
        return Optional.ofNullable(mModelsByName.get(name));
    }

    /** Returns the weights of the largest listed model in megabytes; 0 without models. */
    double largestMegabytes() {
        return mLargestMegabytes;
    }
}
