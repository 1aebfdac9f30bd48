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
 * Ranks nodes for a duty by rendezvous hashing.
 *
 * <p>Every node that knows the same live nodes comes to the same ranking. When a node goes, only
 * its own duties move; when one comes, it takes its share and no other duty moves.
 *
 * <pre>{@code
 * Optional<NodeName> holder = Rendezvous.first("snapshot", view.dutyNodes());
 * }</pre>
 */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128(0x66787472);

    private Rendezvous() {}

    /** Returns the nodes in order of their rank for a duty, best first. */
    public static List<NodeName> rank(String duty, Collection<NodeName> nodes) {
        Objects.requireNonNull(duty, "duty");
        return nodes.stream()
                .map(node -> new Scored(node, score(duty, node)))
                .sorted(Scored.BEST_FIRST)
                .map(Scored::node)
                .toList();
    }

    /** Returns the node that ranks best for a duty; empty when there is no node. */
    public static Optional<NodeName> first(String duty, Collection<NodeName> nodes) {
        Objects.requireNonNull(duty, "duty");
        return nodes.stream()
                .map(node -> new Scored(node, score(duty, node)))
                .min(Scored.BEST_FIRST)
                .map(Scored::node);
    }

    /** Returns whether a node is among the best ranked for a duty. */
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
