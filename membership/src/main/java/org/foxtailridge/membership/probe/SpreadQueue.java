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
 * Statements that are still to be sent, one for each node: those about nodes that fail or leave
 * first, then those that have been sent least often.
 */
final class SpreadQueue {
    private final Map<NodeName, Entry> mEntries = new HashMap<>();
    private final TreeSet<Entry> mOrdered = new TreeSet<>(Entry.MOST_URGENT_FIRST);

    void put(Member statement, int times) {
        remove(statement.node());
        add(new Entry(statement, times));
    }

    void remove(NodeName node) {
        Entry entry = mEntries.remove(node);
        if (entry != null) {
            mOrdered.remove(entry);
        }
    }

    List<Member> take(int maximum) {
        List<Entry> taken = new ArrayList<>();
        while (taken.size() < maximum && !mOrdered.isEmpty()) {
            Entry entry = mOrdered.pollFirst();
            mEntries.remove(entry.statement().node());
            taken.add(entry);
        }
        for (Entry entry : taken) {
            if (entry.times() > 1) {
                add(new Entry(entry.statement(), entry.times() - 1));
            }
        }
        return taken.stream().map(Entry::statement).toList();
    }

    private void add(Entry entry) {
        mEntries.put(entry.statement().node(), entry);
        mOrdered.add(entry);
    }

    private record Entry(Member statement, int times) {
        private static final Comparator<Entry> MOST_URGENT_FIRST =
                Comparator.<Entry, Boolean>comparing(
                                entry -> entry.statement().state() == MemberState.ALIVE)
                        .thenComparing(entry -> -entry.times())
                        .thenComparing(entry -> entry.statement().node());
    }
}
