package org.foxtailridge.execution.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * Crashes of endpoints with the prompt parts of the requests whose answers had not begun, and the
 * parts that explain them. Bounded; the oldest crashes are dropped first.
 *
 * <p>One part is enough to explain a crash, so the part that occurs in the most crashes is blamed
 * first, and parts that only waited beside it are blamed for no crash that it explains. A part that
 * was answered shortly before a crash, or since, does not explain it.
 */
final class PromptIncidents {
    /** Crashes after which the one part that explains them and was never answered is blamed. */
    static final int MINIMUM_CRASHES = 3;

    /** Crashes after which a part is blamed although another explains as many, or was answered. */
    static final int MINIMUM_CRASHES_IN_DOUBT = 5;

    /** Time before a crash in which an answer shows that a part did not cause it. */
    static final long RECENT_ANSWER_MILLISECONDS = 2_000;

    // A blamed part explains at least one in so many of the crashes since its first one. Among many
    // crashes of another cause some parts occur several times by chance.
    private static final int MAXIMUM_CRASHES_FOR_EACH_EXPLAINED = 3;
    // Nodes report the same crash within this time; an endpoint takes longer to come back.
    private static final long SAME_CRASH_MILLISECONDS = 1_500;
    private static final long MEMORY_MILLISECONDS = 60_000;
    private static final int MAXIMUM_INCIDENTS = 256;
    private static final int MAXIMUM_PARTS_OF_INCIDENT = 256;

    private final Deque<Incident> mIncidents = new ArrayDeque<>();

    boolean isEmpty() {
        return mIncidents.isEmpty();
    }

    /**
     * Adds the parts of a request that waited at an endpoint that crashed.
     *
     * @param atMilliseconds time of the crash in milliseconds since the epoch
     * @param now current time, at which this node learns of it
     */
    void add(String endpoint, Collection<Long> parts, long atMilliseconds, long now) {
        Incident incident = find(endpoint, atMilliseconds);
        if (incident == null) {
            incident = new Incident(endpoint, atMilliseconds, now);
            mIncidents.addLast(incident);
            if (mIncidents.size() > MAXIMUM_INCIDENTS) {
                mIncidents.removeFirst();
            }
        }
        if (incident.mParts.size() + parts.size() <= MAXIMUM_PARTS_OF_INCIDENT) {
            incident.mParts.addAll(parts);
        }
    }

    void forgetOld(long now) {
        mIncidents.removeIf(incident -> now - incident.mAtMilliseconds > MEMORY_MILLISECONDS);
    }

    /** Returns the time of the last crash with a part, in milliseconds since the epoch. */
    OptionalLong lastCrashMilliseconds(long part) {
        return mIncidents.stream()
                .filter(incident -> incident.mParts.contains(part))
                .mapToLong(incident -> incident.mAtMilliseconds)
                .max();
    }

    /**
     * Returns the number of crashes that each part may have caused.
     *
     * @param lastAnswer time of the last answer to a request with a part
     */
    Map<Long, Integer> crashesByPart(LongUnaryOperator lastAnswer) {
        return count(mIncidents, lastAnswer);
    }

    /**
     * Returns the parts that are to blame.
     *
     * @param lastAnswer time of the last answer to a request with a part
     * @param held parts that are blamed already; crashes with such a part are explained
     * @param knownUntil only crashes that this node has known since then count
     */
    Set<Long> blame(LongUnaryOperator lastAnswer, Set<Long> held, long knownUntil) {
        List<Incident> unexplained = new ArrayList<>();
        for (Incident incident : mIncidents) {
            if (incident.mKnownMilliseconds <= knownUntil && !incident.hasAnyOf(held)) {
                unexplained.add(incident);
            }
        }
        Set<Long> blamed = new HashSet<>();
        Set<Long> explaining = explaining(unexplained, lastAnswer);
        while (!explaining.isEmpty()) {
            blamed.addAll(explaining);
            unexplained.removeIf(incident -> incident.hasAnyOf(blamed));
            explaining = explaining(unexplained, lastAnswer);
        }
        return blamed;
    }

    /** Returns the parts that explain the most crashes; those never answered come first. */
    private static Set<Long> explaining(List<Incident> incidents, LongUnaryOperator lastAnswer) {
        Map<Long, Integer> crashes = count(incidents, lastAnswer);
        crashes.values().removeIf(number -> number < MINIMUM_CRASHES);
        crashes.keySet().removeIf(part -> isByChance(part, crashes.get(part), incidents));
        Map<Long, Integer> unanswered = new HashMap<>(crashes);
        unanswered.keySet().removeIf(part -> lastAnswer.applyAsLong(part) != PartAnswers.NEVER);
        Set<Long> explaining = leaders(unanswered, MINIMUM_CRASHES);
        return explaining.isEmpty() ? leaders(crashes, MINIMUM_CRASHES_IN_DOUBT) : explaining;
    }

    private static boolean isByChance(long part, int crashes, List<Incident> incidents) {
        long first =
                incidents.stream()
                        .filter(incident -> incident.mParts.contains(part))
                        .mapToLong(incident -> incident.mAtMilliseconds)
                        .min()
                        .orElseThrow();
        long since =
                incidents.stream().filter(incident -> incident.mAtMilliseconds >= first).count();
        return since > (long) crashes * MAXIMUM_CRASHES_FOR_EACH_EXPLAINED;
    }

    /** Returns the parts with the most crashes; none if these are too few. */
    private static Set<Long> leaders(Map<Long, Integer> crashes, int minimum) {
        int most = crashes.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        Set<Long> leaders = new HashSet<>(crashes.keySet());
        leaders.removeIf(part -> crashes.get(part) < most);
        int needed = leaders.size() > 1 ? MINIMUM_CRASHES_IN_DOUBT : minimum;
        return most >= needed ? leaders : Set.of();
    }

    private static Map<Long, Integer> count(
            Collection<Incident> incidents, LongUnaryOperator lastAnswer) {
        Map<Long, Integer> crashes = new HashMap<>();
        for (Incident incident : incidents) {
            long cleared = incident.mAtMilliseconds - RECENT_ANSWER_MILLISECONDS;
            for (long part : incident.mParts) {
                if (lastAnswer.applyAsLong(part) <= cleared) {
                    crashes.merge(part, 1, Integer::sum);
                }
            }
        }
        return crashes;
    }

    private Incident find(String endpoint, long atMilliseconds) {
        for (Incident incident : mIncidents) {
            long apart = Math.abs(incident.mAtMilliseconds - atMilliseconds);
            if (incident.mEndpoint.equals(endpoint) && apart < SAME_CRASH_MILLISECONDS) {
                return incident;
            }
        }
        return null;
    }

    private static final class Incident {
        private final String mEndpoint;
        private final long mAtMilliseconds;
        private final long mKnownMilliseconds;
        private final Set<Long> mParts = new HashSet<>();

        private Incident(String endpoint, long atMilliseconds, long knownMilliseconds) {
            mEndpoint = endpoint;
            mAtMilliseconds = atMilliseconds;
            mKnownMilliseconds = knownMilliseconds;
        }

        private boolean hasAnyOf(Set<Long> parts) {
            return mParts.stream().anyMatch(parts::contains);
        }
    }
}
