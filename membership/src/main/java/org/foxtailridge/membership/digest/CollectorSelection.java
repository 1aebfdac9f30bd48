package org.foxtailridge.membership.digest;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.membership.duty.Rendezvous;

/**
 * Selects the collector of one data centre: the live node with the highest rendezvous rank that
 * answers.
 *
 * <p>A collector that leaves messages unanswered is suspended for some time, so that a frozen or
 * unreachable one is replaced before the failure detector notices it. Not thread-safe.
 */
final class CollectorSelection {
    // Further candidates are needed only when all of these fail within one suspension.
    private static final int MAXIMUM_CANDIDATES = 5;

    private final String mDuty;
    private final DigestSettings mSettings;
    private final Map<NodeName, Long> mUnansweredSince = new HashMap<>();
    private final Map<NodeName, Long> mSuspendedUntil = new HashMap<>();
    private List<NodeName> mCandidates = List.of();

    CollectorSelection(DataCentreName dataCentre, DigestSettings settings) {
        mDuty = "collector:" + dataCentre.value();
        mSettings = settings;
    }

    /** Replaces the live nodes of the data centre. */
    void updateNodes(Collection<NodeName> nodes) {
        mCandidates = Rendezvous.rank(mDuty, nodes).stream().limit(MAXIMUM_CANDIDATES).toList();
        mUnansweredSince.keySet().retainAll(mCandidates);
        mSuspendedUntil.keySet().retainAll(mCandidates);
    }

    /** Returns the collector to use, empty without live nodes. */
    Optional<NodeName> current(long now) {
        suspendUnanswered(now);
        mSuspendedUntil.values().removeIf(until -> now >= until);
        Optional<NodeName> answering =
                mCandidates.stream().filter(node -> !mSuspendedUntil.containsKey(node)).findFirst();
        return answering.or(() -> mCandidates.stream().findFirst());
    }

    /** Records that a message which a digest answers was sent. */
    void onSent(NodeName collector, long now) {
        mUnansweredSince.putIfAbsent(collector, now);
    }

    /** Records a digest of a collector. */
    void onAnswer(NodeName collector) {
        mUnansweredSince.remove(collector);
        mSuspendedUntil.remove(collector);
    }

    private void suspendUnanswered(long now) {
        long sentBefore = now - mSettings.answerTimeout().toMillis();
        mUnansweredSince
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean silent = entry.getValue() <= sentBefore;
                            if (silent) {
                                mSuspendedUntil.put(
                                        entry.getKey(), now + mSettings.suspension().toMillis());
                            }
                            return silent;
                        });
    }
}
