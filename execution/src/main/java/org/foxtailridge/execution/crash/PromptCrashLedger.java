package org.foxtailridge.execution.crash;

import com.google.common.collect.Iterables;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongPredicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.protocol.crashes.AnsweredPart;
import org.foxtailridge.protocol.crashes.CrashesMessage;
import org.foxtailridge.protocol.crashes.HeldPart;
import org.foxtailridge.protocol.crashes.PromptCrash;

/**
 * Holds back requests, fleet-wide, with a prompt part that crashes the endpoints that begin to
 * answer it, whatever else the requests contain.
 *
 * <p>Nodes tell each other which parts waited at an endpoint when it crashed, and which of these
 * are answered elsewhere. A part that is never answered and explains three crashes is held back. A
 * request whose answer has begun is no suspect: it would have crashed its endpoint before. Confined
 * to one thread.
 *
 * <pre>{@code
 * PromptCrashLedger ledger = new PromptCrashLedger(clock, outbox, part -> isFirstNode(part));
 * ledger.broken(endpoint, parts);           // the connection broke before the answer began
 * ledger.answered(parts);                   // an endpoint survived the beginning of the answer
 * ledger.tick();
 * if (ledger.heldBackMilliseconds(parts) == 0) {
 *     ledger.sent(parts);
 * }
 * }</pre>
 */
public final class PromptCrashLedger {
    private static final Logger LOGGER = LogManager.getLogger(PromptCrashLedger.class);

    /** Time in which nodes that have answered a part tell so before it is blamed. */
    static final long DECISION_DELAY_MILLISECONDS = 250;

    // Nodes report a crash, and the answers that clear parts, within this time. Later on only the
    // next crash changes who is to blame.
    private static final long EVALUATION_MILLISECONDS = 1_000;
    // An answer that was received together with the end of the broken connection proves nothing.
    private static final long SAME_READ_MILLISECONDS = 20;
    // A node tells of an answer to a part that may have caused this many crashes.
    private static final int CRASHES_TO_TELL_ANSWERS = 2;
    private static final int MAXIMUM_PARTS_OF_REQUEST = 8;
    // About 200 bytes with its endpoint.
    private static final int MAXIMUM_PARTS_OF_CRASH = 20;
    // With the answers the message stays within one datagram.
    private static final int MAXIMUM_CRASHES_OF_MESSAGE = 4;
    // What is told too late would count as another crash, so that the rest is left out.
    private static final int MAXIMUM_CRASHES_TO_TELL = 12;
    private static final int MAXIMUM_ANSWERS_OF_MESSAGE = 25;
    private static final int MAXIMUM_HOLDS_OF_MESSAGE = 40;
    private static final int TIMES_TOLD = 2;

    private final Clock mClock;
    private final CrashOutbox mOutbox;
    private final LongPredicate mTries;
    private final PromptIncidents mIncidents = new PromptIncidents();
    private final HeldParts mHeld = new HeldParts();
    private final PartAnswers mAnswers = new PartAnswers();
    // Answers of which all nodes have been told.
    private final PartAnswers mToldAnswers = new PartAnswers();
    private final List<BrokenAttempt> mDoubts = new ArrayList<>();
    private final Map<PromptCrash, Integer> mCrashesToTell = new LinkedHashMap<>();
    private final Map<Long, Integer> mReleasesToTell = new LinkedHashMap<>();
    private long mEvaluatedUntilMilliseconds;

    /**
     * Creates a ledger that knows of no crash.
     *
     * @param clock clock of the node
     * @param outbox tells the other nodes
     * @param tries whether this node is the one to try a part, given by its hash, whose time has
     *     passed
     */
    public PromptCrashLedger(Clock clock, CrashOutbox outbox, LongPredicate tries) {
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mTries = Objects.requireNonNull(tries, "tries");
    }

    /**
     * The connection of an attempt broke before its answer began.
     *
     * @param parts identifiers of the shared parts of its prompt
     */
    public void broken(EndpointName endpoint, List<String> parts) {
        Objects.requireNonNull(endpoint, "endpoint");
        if (!parts.isEmpty()) {
            mDoubts.add(new BrokenAttempt(endpoint, hashes(parts), mClock.millis()));
        }
    }

    /**
     * An endpoint survived the beginning of an answer.
     *
     * @param parts identifiers of the shared parts of the request's prompt
     */
    public void answered(List<String> parts) {
        long now = mClock.millis();
        for (long part : hashes(parts)) {
            if (recordAnswer(part, now)) {
                mReleasesToTell.put(part, TIMES_TOLD);
            }
        }
    }

    /** An endpoint answered something in whole, so that it has not crashed. */
    public void alive(EndpointName endpoint) {
        long before = mClock.millis() - SAME_READ_MILLISECONDS;
        mDoubts.removeIf(
                doubt -> doubt.endpoint().equals(endpoint) && doubt.atMilliseconds() <= before);
    }

    /** Returns for how long a request is held back, in milliseconds; 0 when it may be sent. */
    public long heldBackMilliseconds(List<String> parts) {
        if (mHeld.isEmpty()) {
            return 0;
        }
        long now = mClock.millis();
        return hashes(parts).stream()
                .mapToLong(part -> mHeld.remainingMilliseconds(part, mTries, now))
                .max()
                .orElse(0);
    }

    /** A request is sent to an endpoint; a held part is then not tried again for some time. */
    public void sent(List<String> parts) {
        if (!mHeld.isEmpty()) {
            hashes(parts).forEach(part -> mHeld.tried(part, mClock.millis()));
        }
    }

    /** Handles what another node tells. */
    public void received(CrashesMessage message) {
        long now = mClock.millis();
        for (PromptCrash crash : message.getPromptCrashesList()) {
            addIncident(crash, now);
        }
        for (AnsweredPart answered : message.getAnsweredPartsList()) {
            long at = now - Math.max(0, answered.getAgeMilliseconds());
            mToldAnswers.record(answered.getPart(), at);
            recordAnswer(answered.getPart(), at);
        }
        message.getHeldPartsList().forEach(held -> mergeHold(held, now));
    }

    /**
     * Returns what a node that has started meanwhile has to know; empty if nothing is held back. To
     * be sent to some nodes again and again.
     */
    public Optional<CrashesMessage> holds() {
        if (mHeld.isEmpty()) {
            return Optional.empty();
        }
        List<HeldPart> held = mHeld.toMessages(MAXIMUM_HOLDS_OF_MESSAGE, mClock.millis());
        return Optional.of(CrashesMessage.newBuilder().addAllHeldParts(held).build());
    }

    /**
     * Adds the crashes that are no longer in doubt, blames parts, and tells the other nodes.
     *
     * @return whether parts were held back that were not before
     */
    public boolean tick() {
        long now = mClock.millis();
        confirmCrashes(now);
        mIncidents.forgetOld(now);
        mHeld.forgetOld(now);
        boolean evaluates = !mIncidents.isEmpty() && now <= mEvaluatedUntilMilliseconds;
        tell(now, evaluates);
        return evaluates && holdBlamed(now);
    }

    private void confirmCrashes(long now) {
        Map<EndpointName, Set<Long>> crashed = new LinkedHashMap<>();
        for (BrokenAttempt doubt : List.copyOf(mDoubts)) {
            if (now - doubt.atMilliseconds() >= CrashLedger.DOUBT_MILLISECONDS) {
                mDoubts.remove(doubt);
                crashed.computeIfAbsent(doubt.endpoint(), unused -> new LinkedHashSet<>())
                        .addAll(doubt.parts());
            }
        }
        crashed.forEach(
                (endpoint, parts) ->
                        Iterables.partition(parts, MAXIMUM_PARTS_OF_CRASH)
                                .forEach(some -> addOwnCrash(endpoint, some, now)));
    }

    private void addOwnCrash(EndpointName endpoint, List<Long> parts, long now) {
        PromptCrash crash =
                PromptCrash.newBuilder().setEndpoint(endpoint.value()).addAllParts(parts).build();
        addIncident(crash, now);
        if (mCrashesToTell.size() < MAXIMUM_CRASHES_TO_TELL) {
            mCrashesToTell.put(crash, TIMES_TOLD);
        }
    }

    private void addIncident(PromptCrash crash, long now) {
        mEvaluatedUntilMilliseconds = now + EVALUATION_MILLISECONDS;
        List<Long> parts = crash.getPartsList().stream().limit(MAXIMUM_PARTS_OF_CRASH).toList();
        mIncidents.add(crash.getEndpoint(), parts, now - CrashLedger.DOUBT_MILLISECONDS, now);
    }

    private boolean holdBlamed(long now) {
        Collection<Long> blamed =
                mIncidents.blame(mAnswers::last, mHeld.parts(), now - DECISION_DELAY_MILLISECONDS);
        boolean changed = false;
        for (long part : mHeld.parts()) {
            changed |= hold(part, now);
        }
        for (long part : blamed) {
            changed |= hold(part, now);
        }
        return changed;
    }

    private void mergeHold(HeldPart held, long now) {
        long crash = now - Integer.toUnsignedLong(held.getCrashAgeMilliseconds());
        if (mAnswers.last(held.getPart()) > crash) {
            // The sender has missed the release.
            mReleasesToTell.put(held.getPart(), 1);
            return;
        }
        boolean isNew = !mHeld.contains(held.getPart());
        mHeld.merge(held, now);
        if (isNew) {
            logHold(held.getPart(), now);
        }
    }

    private boolean hold(long part, long now) {
        OptionalLong crash = mIncidents.lastCrashMilliseconds(part);
        if (crash.isEmpty() || !mHeld.hold(part, crash.getAsLong(), now)) {
            return false;
        }
        logHold(part, now);
        return true;
    }

    private void logHold(long part, long now) {
        LogEvent.named("prompt_part_held_back")
                .text("part", Long.toHexString(part))
                .number("held_back_ms", mHeld.remainingMilliseconds(part, unused -> false, now))
                .writeTo(LOGGER);
    }

    /** Returns whether the part was held back until now. */
    private boolean recordAnswer(long part, long milliseconds) {
        mAnswers.record(part, milliseconds);
        boolean released = mHeld.release(part, milliseconds);
        if (released) {
            LogEvent.named("prompt_part_released")
                    .text("part", Long.toHexString(part))
                    .writeTo(LOGGER);
        }
        return released;
    }

    private void tell(long now, boolean evaluates) {
        List<AnsweredPart> answers = answersToTell(now, evaluates);
        if (mCrashesToTell.isEmpty() && answers.isEmpty()) {
            return;
        }
        mOutbox.broadcast(
                CrashesMessage.newBuilder()
                        .addAllPromptCrashes(take(mCrashesToTell, MAXIMUM_CRASHES_OF_MESSAGE))
                        .addAllAnsweredParts(answers)
                        .build());
    }

    /** Returns the answers that clear parts which other nodes may suspect or hold back. */
    private List<AnsweredPart> answersToTell(long now, boolean evaluates) {
        Set<Long> parts = new LinkedHashSet<>(take(mReleasesToTell, MAXIMUM_ANSWERS_OF_MESSAGE));
        if (evaluates) {
            Map<Long, Integer> ours = mIncidents.crashesByPart(mAnswers::last);
            Map<Long, Integer> theirs = mIncidents.crashesByPart(mToldAnswers::last);
            theirs.forEach(
                    (part, crashes) -> {
                        boolean clears = ours.getOrDefault(part, 0) < crashes;
                        if (crashes >= CRASHES_TO_TELL_ANSWERS
                                && (clears || isAnswerUnknown(part))) {
                            parts.add(part);
                        }
                    });
        }
        return parts.stream()
                .limit(MAXIMUM_ANSWERS_OF_MESSAGE)
                .map(part -> answered(part, now))
                .toList();
    }

    private boolean isAnswerUnknown(long part) {
        return mToldAnswers.last(part) == PartAnswers.NEVER
                && mAnswers.last(part) != PartAnswers.NEVER;
    }

    private AnsweredPart answered(long part, long now) {
        long at = mAnswers.last(part);
        mToldAnswers.record(part, at);
        return AnsweredPart.newBuilder().setPart(part).setAgeMilliseconds((int) (now - at)).build();
    }

    private static <T> List<T> take(Map<T, Integer> toTell, int maximum) {
        List<T> told = toTell.keySet().stream().limit(maximum).toList();
        told.forEach(item -> toTell.merge(item, -1, (left, one) -> left > 1 ? left + one : null));
        return told;
    }

    private static List<Long> hashes(List<String> parts) {
        return parts.stream()
                .limit(MAXIMUM_PARTS_OF_REQUEST)
                .map(part -> Hashing.sipHash24().hashString(part, StandardCharsets.UTF_8).asLong())
                .toList();
    }

    /**
     * An attempt that broke before its answer began; whether its endpoint crashed is not known yet.
     *
     * @param parts hashes of the shared parts of its prompt
     */
    private record BrokenAttempt(EndpointName endpoint, List<Long> parts, long atMilliseconds) {}
}
