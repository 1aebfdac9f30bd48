package org.foxtailridge.membership.duty;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.primitives.Ints;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.foxtailridge.core.name.NodeName;
import org.junit.jupiter.api.Test;

/** Guards against duties that move between live nodes, and against uneven shares. */
class RendezvousTest {
    private static List<NodeName> nodes(int count) {
        List<NodeName> nodes = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            nodes.add(NodeName.of("node-" + number));
        }
        return nodes;
    }

    @Property(tries = 200, seed = "4107")
    void should_move_only_the_duties_of_a_removed_node(
            @ForAll @IntRange(min = 2, max = 40) int count, @ForAll @IntRange(max = 39) int index) {
        // GIVEN
        List<NodeName> before = nodes(count);
        NodeName removed = before.get(index % count);
        List<NodeName> after = new ArrayList<>(before);
        after.remove(removed);
        for (int duty = 0; duty < 50; duty++) {
            // WHEN
            NodeName first = Rendezvous.first("duty-" + duty, before).orElseThrow();
            NodeName second = Rendezvous.first("duty-" + duty, after).orElseThrow();
            // THEN
            if (!first.equals(removed)) {
                assertThat(second).isEqualTo(first);
            }
            assertThat(Rendezvous.rank("duty-" + duty, before).get(0)).isEqualTo(first);
        }
    }

    @Test
    void should_spread_duties_evenly() {
        // GIVEN
        List<NodeName> nodes = nodes(9);
        int[] counts = new int[9];
        // WHEN
        for (int duty = 0; duty < 9_000; duty++) {
            NodeName first = Rendezvous.first("duty-" + duty, nodes).orElseThrow();
            counts[nodes.indexOf(first)]++;
        }
        // THEN
        assertThat(Ints.asList(counts)).allMatch(count -> count > 850 && count < 1_150);
    }
}
