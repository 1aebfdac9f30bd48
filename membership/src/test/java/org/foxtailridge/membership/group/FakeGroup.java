package org.foxtailridge.membership.group;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * In-memory group of the platform's log. It assigns partitions evenly. A partition gets a new
 * holder only after the former one has confirmed the release, has left or has not joined for a
 * lifetime.
 */
final class FakeGroup {
    private final int mPartitions;
    private final Duration mLifetime;
    private final Clock mClock;
    private final Map<String, Member> mMembers = new LinkedHashMap<>();
    private final Map<Integer, String> mHolders = new HashMap<>();
    private final Map<Integer, String> mTargets = new HashMap<>();
    private long mGeneration;

    FakeGroup(int partitions, Duration lifetime, Clock clock) {
        mPartitions = partitions;
        mLifetime = lifetime;
        mClock = clock;
    }

    GroupAssignment join(String name, long generation) {
        expire();
        Member member = mMembers.get(name);
        if (member == null) {
            member = new Member();
            mMembers.put(name, member);
            assign();
        }
        member.mLastJoinAt = mClock.instant();
        if (generation >= mGeneration) {
            mHolders.entrySet()
                    .removeIf(
                            held ->
                                    held.getValue().equals(name)
                                            && !name.equals(mTargets.get(held.getKey())));
        }
        Set<Integer> assigned = new HashSet<>();
        for (int partition = 0; partition < mPartitions; partition++) {
            String holder = mHolders.get(partition);
            if (name.equals(mTargets.get(partition)) && (holder == null || holder.equals(name))) {
                mHolders.put(partition, name);
                assigned.add(partition);
            }
        }
        return new GroupAssignment(mGeneration, assigned);
    }

    void leave(String name) {
        mMembers.remove(name);
        mHolders.values().removeIf(name::equals);
        assign();
    }

    /** Reassigns all partitions without a request of a member. */
    void reassign() {
        List<String> names = new ArrayList<>(mMembers.keySet());
        java.util.Collections.reverse(names);
        Map<String, Member> members = new LinkedHashMap<>();
        names.forEach(name -> members.put(name, mMembers.get(name)));
        mMembers.clear();
        mMembers.putAll(members);
        assign();
    }

    private void expire() {
        Instant now = mClock.instant();
        List<String> expired = new ArrayList<>();
        mMembers.forEach(
                (name, member) -> {
                    if (now.isAfter(member.mLastJoinAt.plus(mLifetime))) {
                        expired.add(name);
                    }
                });
        expired.forEach(this::leave);
    }

    private void assign() {
        mGeneration++;
        mTargets.clear();
        List<String> names = List.copyOf(mMembers.keySet());
        for (int partition = 0; partition < mPartitions && !names.isEmpty(); partition++) {
            mTargets.put(partition, names.get(partition % names.size()));
        }
    }

    private static final class Member {
        private Instant mLastJoinAt = Instant.MIN;
    }
}
