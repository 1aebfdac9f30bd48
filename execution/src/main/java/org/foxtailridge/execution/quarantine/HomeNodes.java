package org.foxtailridge.execution.quarantine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Finds the home node of a fingerprint by rendezvous hashing. */
final class HomeNodes {
    private final String mSelf;
    private List<String> mNodes;

    HomeNodes(String self) {
        mSelf = self;
        mNodes = List.of(self);
    }

    void change(List<String> nodes) {
        mNodes = nodes.isEmpty() ? List.of(mSelf) : List.copyOf(nodes);
    }

    boolean isSelf(String node) {
        return mSelf.equals(node);
    }

    String of(Fingerprint fingerprint) {
        String home = mNodes.get(0);
        long highest = Long.MIN_VALUE;
        for (String node : mNodes) {
            long rank = rank(fingerprint, node);
            if (rank > highest || (rank == highest && node.compareTo(home) < 0)) {
                highest = rank;
                home = node;
            }
        }
        return home;
    }

    private static long rank(Fingerprint fingerprint, String node) {
        return Hashing.murmur3_128()
                .newHasher()
                .putBytes(fingerprint.bytes().asReadOnlyByteBuffer())
                .putString(node, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
