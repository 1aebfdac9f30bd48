package org.foxtailridge.membership.probe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;

/**
 * Priority queue of updates to piggyback on messages, one for each node. Updates about nodes that
 * are not alive come first, then those with the most transmissions left. Not thread-safe.
 */
final class DisseminationQueue {
    private final Map<NodeName, Entry> mEntries = new HashMap<>();
    private final TreeSet<Entry> mOrdered = new TreeSet<>(Entry.MOST_URGENT_FIRST);

    /**
     * Puts an update in place of an older one about the same node.
     *
     * @param times number of transmissions, at least 1
     */
    void put(Member update, int times) {
        remove(update.node());
        add(new Entry(update, times));
    }

    void remove(NodeName node) {
        Entry entry = mEntries.remove(node);
        if (entry != null) {
            mOrdered.remove(entry);
        }
    }

    /** Returns the most urgent updates, and removes those that were transmitted often enough. */
    List<Member> take(int maximum) {
        List<Entry> taken = new ArrayList<>();
        while (taken.size() < maximum && !mOrdered.isEmpty()) {
            Entry entry = mOrdered.pollFirst();
            mEntries.remove(entry.update().node());
            taken.add(entry);
        }
        for (Entry entry : taken) {
            if (entry.times() > 1) {
                add(new Entry(entry.update(), entry.times() - 1));
            }
        }
        return taken.stream().map(Entry::update).toList();
    }

    private void add(Entry entry) {
        mEntries.put(entry.update().node(), entry);
        mOrdered.add(entry);
    }

    private record Entry(Member update, int times) {
        private static final Comparator<Entry> MOST_URGENT_FIRST =
                Comparator.<Entry, Boolean>comparing(
                                entry -> entry.update().state() == MemberState.ALIVE)
                        .thenComparing(entry -> -entry.times())
                        .thenComparing(entry -> entry.update().node());
    }
}
