package org.foxtailridge.standins.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A group that deals the partitions of topics out to its members.
 *
 * <p>A partition that is to go to another member stays with the one before until that one joins
 * with the generation of the change or a later one, leaves, or has been silent for its lifetime.
 */
final class StoreGroup {
    private final TreeMap<String, Member> mMembers = new TreeMap<>();
    private final TreeMap<StorePlace, Assignment> mAssignments = new TreeMap<>();
    private long mGeneration;

    /**
     * Takes a join.
     *
     * @param places partitions of the topics that the member names
     */
    void join(
            String member,
            List<StorePlace> places,
            Duration lifetime,
            long generation,
            Instant now) {
        lapse(now);
        places.forEach(place -> mAssignments.computeIfAbsent(place, key -> new Assignment()));
        boolean isNew = !mMembers.containsKey(member);
        mMembers.put(member, new Member(now.plus(lifetime), generation));
        if (isNew) {
            deal();
        }
        handOver();
    }

    /** Takes the word of a member that it leaves. */
    void leave(String member) {
        if (mMembers.remove(member) != null) {
            deal();
            handOver();
        }
    }

    /** Deals all partitions out anew, as the platform does at times without a request. */
    void dealAnew() {
        List<StorePlace> places = new ArrayList<>(mAssignments.keySet());
        List<String> members = new ArrayList<>(mMembers.keySet());
        for (int index = 0; index < places.size() && !members.isEmpty(); index++) {
            String next = members.get((index + 1) % members.size());
            mAssignments.get(places.get(index)).mTarget = next;
        }
        mGeneration++;
        handOver();
    }

    /** Returns the number of the newest change. */
    long generation() {
        return mGeneration;
    }

    /** Returns the partitions that a member may use. */
    List<StorePlace> partsOf(String member) {
        return mAssignments.entrySet().stream()
                .filter(entry -> entry.getValue().belongsTo(member))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the committed offset of a partition. */
    long committed(StorePlace place) {
        Assignment assignment = mAssignments.get(place);
        return assignment == null ? 0 : assignment.mCommitted;
    }

    /** Commits an offset; returns false for a member that does not hold the partition. */
    boolean commit(String member, long generation, StorePlace place, long offset) {
        Assignment assignment = mAssignments.get(place);
        boolean holds =
                assignment != null
                        && assignment.belongsTo(member)
                        && generation >= assignment.mSinceGeneration;
        if (holds) {
            assignment.mCommitted = offset;
        }
        return holds;
    }

    /** Returns who holds which partition. */
    Map<StorePlace, String> owners() {
        Map<StorePlace, String> owners = new TreeMap<>();
        mAssignments.forEach(
                (place, assignment) -> {
                    if (assignment.mHolder != null) {
                        owners.put(place, assignment.mHolder);
                    }
                });
        return owners;
    }

    /** Forgets the members that have been silent for too long. */
    void lapse(Instant now) {
        if (mMembers.values().removeIf(member -> member.until().isBefore(now))) {
            deal();
            handOver();
        }
    }

    /** Gives each member its even share; a member keeps what it has as far as that allows. */
    private void deal() {
        mGeneration++;
        if (mMembers.isEmpty()) {
            return;
        }
        int share = (mAssignments.size() + mMembers.size() - 1) / mMembers.size();
        Map<String, Integer> counts = new HashMap<>();
        List<Assignment> open = new ArrayList<>();
        for (Assignment assignment : mAssignments.values()) {
            String target = assignment.mTarget;
            boolean keeps =
                    target != null
                            && mMembers.containsKey(target)
                            && counts.getOrDefault(target, 0) < share;
            if (keeps) {
                counts.merge(target, 1, Integer::sum);
            } else {
                open.add(assignment);
            }
        }
        for (Assignment assignment : open) {
            assignment.mTarget = leastLoaded(counts);
            counts.merge(assignment.mTarget, 1, Integer::sum);
        }
    }

    private String leastLoaded(Map<String, Integer> counts) {
        String least = mMembers.firstKey();
        for (String member : mMembers.keySet()) {
            if (counts.getOrDefault(member, 0) < counts.getOrDefault(least, 0)) {
                least = member;
            }
        }
        return least;
    }

    private void handOver() {
        for (Assignment assignment : mAssignments.values()) {
            Member holder = assignment.mHolder == null ? null : mMembers.get(assignment.mHolder);
            boolean free = holder == null || holder.generation() >= mGeneration;
            boolean moves = assignment.mTarget != null && !assignment.belongsTo(assignment.mTarget);
            if (free && moves && mMembers.containsKey(assignment.mTarget)) {
                assignment.mHolder = assignment.mTarget;
                assignment.mSinceGeneration = mGeneration;
            }
        }
    }

    private record Member(Instant until, long generation) {}

    private static final class Assignment {
        private String mHolder;
        private String mTarget;
        private long mSinceGeneration;
        private long mCommitted;

        private boolean belongsTo(String member) {
            return member.equals(mHolder) && member.equals(mTarget);
        }
    }
}
