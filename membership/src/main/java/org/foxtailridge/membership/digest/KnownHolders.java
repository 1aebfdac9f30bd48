package org.foxtailridge.membership.digest;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.digest.DutyHolder;

/** Last known holder of each duty: the statement with the highest fencing number counts. */
final class KnownHolders {
    // Bounds the memory that invalid messages can occupy.
    private static final int MAXIMUM_DUTIES = 1_024;

    private final Map<Integer, DutyHolder> mHolders = new TreeMap<>();
    private final DigestListener mListener;

    KnownHolders(DigestListener listener) {
        mListener = listener;
    }

    void merge(Collection<DutyHolder> statements) {
        statements.forEach(this::merge);
    }

    List<DutyHolder> all() {
        return List.copyOf(mHolders.values());
    }

    private void merge(DutyHolder statement) {
        DutyHolder known = mHolders.get(statement.getPartition());
        boolean newer =
                known == null
                        ? mHolders.size() < MAXIMUM_DUTIES
                        : statement.getFencing() > known.getFencing();
        if (newer && Names.isName(statement.getNode())) {
            mHolders.put(statement.getPartition(), statement);
            mListener.onHolder(
                    statement.getPartition(),
                    NodeName.of(statement.getNode()),
                    statement.getFencing());
        }
    }
}
