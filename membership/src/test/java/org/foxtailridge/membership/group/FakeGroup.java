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

/** A group as the platform's log keeps it: deals partitions evenly, and takes over what is due. */
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
            deal();
        }
        member.mHeard = mClock.instant();
        if (generation >= mGeneration) {
            mHolders.entrySet()
                    .removeIf(
                            held ->
                                    held.getValue().equals(name)
                                            && !name.equals(mTargets.get(held.getKey())));
        }
        Set<Integer> given = new HashSet<>();
        for (int partition = 0; partition < mPartitions; partition++) {
            String holder = mHolders.get(partition);
            if (name.equals(mTargets.get(partition)) && (holder == null || holder.equals(name))) {
                mHolders.put(partition, name);
                given.add(partition);
            }
        }
        return new GroupAssignment(mGeneration, given);
    }

    void leave(String name) {
        mMembers.remove(name);
        mHolders.values().removeIf(name::equals);
        deal();
    }

    /** Deals all partitions anew without any request. */
    void dealAnew() {
        List<String> names = new ArrayList<>(mMembers.keySet());
        java.util.Collections.reverse(names);
        Map<String, Member> members = new LinkedHashMap<>();
        names.forEach(name -> members.put(name, mMembers.get(name)));
        mMembers.clear();
        mMembers.putAll(members);
        deal();
    }

    private void expire() {
        Instant now = mClock.instant();
        List<String> silent = new ArrayList<>();
        mMembers.forEach(
                (name, member) -> {
                    if (now.isAfter(member.mHeard.plus(mLifetime))) {
                        silent.add(name);
                    }
                });
        silent.forEach(this::leave);
    }

    private void deal() {
        mGeneration++;
        mTargets.clear();
        List<String> names = List.copyOf(mMembers.keySet());
        for (int partition = 0; partition < mPartitions && !names.isEmpty(); partition++) {
            mTargets.put(partition, names.get(partition % names.size()));
        }
    }

    private static final class Member {
        private Instant mHeard = Instant.MIN;
    }
}
