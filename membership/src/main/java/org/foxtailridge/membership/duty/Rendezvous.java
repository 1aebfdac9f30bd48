package org.foxtailridge.membership.duty;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.core.name.NodeName;

/**
 * Rendezvous (highest random weight) hashing of duties to nodes.
 *
 * <p>All nodes that see the same live nodes compute the same ranking. When a node fails or leaves,
 * only its own duties move. When a node joins, it gets its share and no other duty moves.
 *
 * <pre>{@code
 * Optional<NodeName> holder = Rendezvous.first("snapshot", view.dutyNodes());
 * }</pre>
 */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128(0x66787472);

    private Rendezvous() {}

    /** Returns the nodes ordered by their rank for a duty, the highest score first. */
    public static List<NodeName> rank(String duty, Collection<NodeName> nodes) {
        Objects.requireNonNull(duty, "duty");
        return nodes.stream()
                .map(node -> new Scored(node, score(duty, node)))
                .sorted(Scored.BEST_FIRST)
                .map(Scored::node)
                .toList();
    }

    /** Returns the node with the highest score for a duty; empty when there are no nodes. */
    public static Optional<NodeName> first(String duty, Collection<NodeName> nodes) {
        Objects.requireNonNull(duty, "duty");
        return nodes.stream()
                .map(node -> new Scored(node, score(duty, node)))
                .min(Scored.BEST_FIRST)
                .map(Scored::node);
    }

    /** Returns whether a node is among the first {@code count} of the ranking for a duty. */
    public static boolean isAmongFirst(
            NodeName node, int count, String duty, Collection<NodeName> nodes) {
        return rank(duty, nodes).stream().limit(count).anyMatch(node::equals);
    }

    private static long score(String duty, NodeName node) {
        return HASH.newHasher()
                .putString(duty, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(node.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private record Scored(NodeName node, long score) {
        private static final Comparator<Scored> BEST_FIRST =
                Comparator.comparingLong(Scored::score).reversed().thenComparing(Scored::node);
    }
}
