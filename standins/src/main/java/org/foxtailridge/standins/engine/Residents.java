package org.foxtailridge.standins.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Ledger of an engine's memory: what is loading, resident or unloading, and the KV memory in use.
 *
 * <p>Memory is charged before a load begins and never above what the engine has. Used by one
 * thread.
 */
final class Residents {
    private final long mMemoryBytes;
    private final Map<String, Resident> mEntries = new LinkedHashMap<>();
    private final Map<String, Long> mWorkingBytes = new LinkedHashMap<>();
    private final Map<String, Long> mKvUsedBytes = new LinkedHashMap<>();
    private long mUsedBytes;
    private long mPeakUsedBytes;

    Residents(long memoryBytes) {
        mMemoryBytes = memoryBytes;
    }

    long memoryBytes() {
        return mMemoryBytes;
    }

    long usedBytes() {
        return mUsedBytes;
    }

    long peakUsedBytes() {
        return mPeakUsedBytes;
    }

    long kvUsedBytes() {
        return mKvUsedBytes.values().stream().mapToLong(Long::longValue).sum();
    }

    List<Resident> entries() {
        return List.copyOf(mEntries.values());
    }

    Optional<Resident> find(String kind, String name) {
        return Optional.ofNullable(mEntries.get(keyOf(kind, name)));
    }

    /** Returns the version of a model that can serve, with its adapter when one is named. */
    Optional<String> servingVersion(CompletionRequest request) {
        Optional<Resident> model =
                find(Resident.MODEL, request.model())
                        .filter(entry -> entry.state().equals(Resident.RESIDENT))
                        .filter(entry -> versionMatches(entry, request.version()));
        if (request.adapter() == null) {
            return model.map(Resident::version);
        }
        boolean adapterServes =
                find(Resident.ADAPTER, request.adapter())
                        .filter(entry -> entry.state().equals(Resident.RESIDENT))
                        .filter(entry -> request.model().equals(entry.model()))
                        .isPresent();
        return adapterServes ? model.map(Resident::version) : Optional.empty();
    }

    /** Returns the working memory of a model, in bytes. */
    long workingBytes(String model) {
        return mWorkingBytes.getOrDefault(model, 0L);
    }

    /** Charges an entry; returns false and changes nothing when memory is short. */
    boolean charge(Resident entry, long workingBytes) {
        long total = entry.bytes() + workingBytes;
        if (entry.bytes() < 0
                || workingBytes < 0
                || total < 0
                || total > mMemoryBytes - mUsedBytes) {
            return false;
        }
        mEntries.put(keyOf(entry.kind(), entry.name()), entry);
        if (entry.isModel()) {
            mWorkingBytes.put(entry.name(), workingBytes);
        }
        mUsedBytes += total;
        mPeakUsedBytes = Math.max(mPeakUsedBytes, mUsedBytes);
        return true;
    }

    void setState(String kind, String name, String state) {
        mEntries.computeIfPresent(keyOf(kind, name), (key, entry) -> entry.in(state));
    }

    /** Drops an entry and gives its memory back; a model's adapters go with it. */
    void release(String kind, String name) {
        Resident removed = mEntries.remove(keyOf(kind, name));
        if (removed == null) {
            return;
        }
        mUsedBytes -= removed.bytes() + (removed.isModel() ? workingBytes(name) : 0);
        if (removed.isModel()) {
            mWorkingBytes.remove(name);
            mKvUsedBytes.remove(name);
            entries().stream()
                    .filter(entry -> name.equals(entry.model()))
                    .forEach(entry -> release(entry.kind(), entry.name()));
        }
    }

    /** Takes KV memory of a model; returns false when too little is free. */
    boolean takeKv(String model, long bytes) {
        long used = mKvUsedBytes.getOrDefault(model, 0L);
        if (used + bytes > workingBytes(model)) {
            return false;
        }
        mKvUsedBytes.put(model, used + bytes);
        return true;
    }

    void giveBackKv(String model, long bytes) {
        mKvUsedBytes.computeIfPresent(model, (name, used) -> used - bytes);
    }

    private static boolean versionMatches(Resident entry, String version) {
        return version == null || version.equals(entry.version());
    }

    private static String keyOf(String kind, String name) {
        return kind + "/" + name;
    }
}
