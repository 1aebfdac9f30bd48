package org.foxtailridge.standins.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** What the store keeps, whichever door a call comes through. Confined to one event loop. */
final class StoreState {
    /** Topics whose records are kept by key begin so. */
    private static final String KEYED_PREFIX = "keyed.";

    private static final int MAXIMUM_TOPICS = 100;

    private final int mPartitions;
    private final Duration mRetention;
    private final Map<String, List<StorePartition>> mTopics = new HashMap<>();
    private final Map<String, StoreGroup> mGroups = new HashMap<>();
    private final List<Runnable> mChangeListeners = new ArrayList<>();

    StoreState(int partitions, Duration retention) {
        mPartitions = partitions;
        mRetention = retention;
    }

    /**
     * Returns a partition, whose topic is made on first use.
     *
     * @throws IllegalArgumentException if there is no partition of this number
     */
    StorePartition partition(String topic, long number) {
        List<StorePartition> partitions = mTopics.computeIfAbsent(topic, this::newTopic);
        if (number < 0 || number >= partitions.size()) {
            throw new IllegalArgumentException(
                    "partition must be below " + partitions.size() + " but was " + number);
        }
        return partitions.get((int) number);
    }

    /** Returns all partitions of a topic. */
    List<StorePlace> places(String topic) {
        int count = mTopics.computeIfAbsent(topic, this::newTopic).size();
        return IntStream.range(0, count).mapToObj(part -> new StorePlace(topic, part)).toList();
    }

    /** Returns a group, which is made on first use. */
    StoreGroup group(String name) {
        return mGroups.computeIfAbsent(name, unused -> new StoreGroup());
    }

    /** Tells a listener of each append, once. */
    void onNextChange(Runnable listener) {
        mChangeListeners.add(listener);
    }

    /** Tells those that wait that records have come. */
    void changed() {
        List<Runnable> listeners = List.copyOf(mChangeListeners);
        mChangeListeners.clear();
        listeners.forEach(Runnable::run);
    }

    /** Deletes what is older than the retention. */
    void expire(Instant now) {
        mTopics.values().forEach(topic -> topic.forEach(partition -> partition.expire(now)));
    }

    /** Deletes all records but the newest of each key, as a compaction of the platform does. */
    void forgetHistory() {
        mTopics.values()
                .forEach(topic -> topic.forEach(partition -> partition.trim(partition.end())));
    }

    /** Deals the partitions of all groups out anew. */
    void dealAnew() {
        mGroups.values().forEach(StoreGroup::dealAnew);
    }

    private List<StorePartition> newTopic(String name) {
        if (mTopics.size() >= MAXIMUM_TOPICS) {
            throw new IllegalArgumentException(
                    "there must be at most " + MAXIMUM_TOPICS + " topics");
        }
        boolean keyed = name.startsWith(KEYED_PREFIX);
        int count = keyed ? 1 : mPartitions;
        return IntStream.range(0, count)
                .mapToObj(number -> new StorePartition(keyed, mRetention))
                .toList();
    }
}
