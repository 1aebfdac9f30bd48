package org.foxtailridge.standins.platform;

import java.util.Comparator;

/**
 * A partition of a topic.
 *
 * @param topic name of the topic
 * @param partition number of the partition, from 0
 */
record StorePlace(String topic, int partition) implements Comparable<StorePlace> {
    private static final Comparator<StorePlace> ORDER =
            Comparator.comparing(StorePlace::topic).thenComparingInt(StorePlace::partition);

    @Override
    public int compareTo(StorePlace other) {
        return ORDER.compare(this, other);
    }
}
