package org.foxtailridge.execution.quarantine;

import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.protocol.quarantine.EndpointLoss;
import org.foxtailridge.protocol.quarantine.LossCleared;
import org.foxtailridge.protocol.quarantine.Permission;
import org.foxtailridge.protocol.quarantine.QuarantineMessage;
import org.foxtailridge.protocol.quarantine.RunAsk;
import org.foxtailridge.protocol.quarantine.RunEnd;
import org.foxtailridge.protocol.quarantine.RunEndReceived;
import org.foxtailridge.protocol.quarantine.RunVerdict;

/**
 * Keeps a request that crashes endpoints from costing more than two of them, over all nodes.
 *
 * <p>The home node of a request's fingerprint permits each attempt. Endpoints lost and attempts in
 * flight together never exceed two. After one loss an attempt runs isolated; a whole answer clears
 * the request; after two losses it is refused until the losses expire. Losses are told to all nodes
 * and recorded in the log. Confined to one thread.
 *
 * <pre>{@code
 * Quarantine quarantine = Quarantine.create(clock, "vm-3", QuarantineSettings.builder().build(),
 *         outbox);
 * duty.offer(() -> quarantine.nodesChanged(liveNodes));
 * quarantine.admit("run-1", Fingerprint.of("auctions", "lots", body));
 * // outbox.permit("run-1", isolated): submit the request, with isolated() as told; then
 * quarantine.began("run-1", new EndpointStart("stone-scribe-1", incarnation));
 * quarantine.finished("run-1");     // the whole answer arrived
 * quarantine.released("run-1");     // cancelled, or provably not begun
 * quarantine.failed("run-1");       // broke off; the endpoint may have died
 * quarantine.endpointLost(new EndpointStart("stone-scribe-1", incarnation));
 * // outbox.refuse("run-1"): answer QUARANTINED, or the kind of the last failure if it had begun.
 * timer.every(Duration.ofMillis(50), () -> duty.offer(quarantine::tick));
 * }</pre>
 */
public final class Quarantine {
    private final Clock mClock;
    private final String mNode;
    private final QuarantineSettings mSettings;
    private final QuarantineOutbox mOutbox;
    private final HomeNodes mHomes;
    private final SuspectList mSuspects;
    private final HarmlessList mHarmless;
    private final HomeDuty mDuty;
    private final Map<String, LocalRun> mRuns = new LinkedHashMap<>();
    private int mDoubtfulRuns;

    Quarantine(
            Clock clock,
            String node,
            QuarantineSettings settings,
            QuarantineOutbox outbox,
            PermissionRule rule) {
        mClock = Objects.requireNonNull(clock, "clock");
        mNode = Objects.requireNonNull(node, "node");
        mSettings = Objects.requireNonNull(settings, "settings");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mHomes = new HomeNodes(node);
        mSuspects = new SuspectList(settings);
        mHarmless = new HarmlessList(settings);
        mDuty = new HomeDuty(settings, rule, mSuspects, mHarmless);
    }

    /** Returns a quarantine that knows of no losses and no other nodes. */
    public static Quarantine create(
            Clock clock, String node, QuarantineSettings settings, QuarantineOutbox outbox) {
        return new Quarantine(clock, node, settings, outbox, PermissionRule.COUNTING_RUNS);
    }

    /**
     * Asks whether an attempt may run. Leads to one of permit and refuse, or to neither when the
     * attempt is released before.
     *
     * @param runId identifier of the attempt, unique over all nodes
     * @param fingerprint fingerprint of its request
     */
    public void admit(String runId, Fingerprint fingerprint) {
        long now = mClock.millis();
        LocalRun run = new LocalRun(runId, fingerprint, hasDoubtfulRun(fingerprint), now);
        if (mRuns.putIfAbsent(runId, run) != null) {
            throw new IllegalArgumentException("expected a new attempt but " + runId + " is known");
        }
        int losses = mSuspects.losses(fingerprint, now);
        if (losses >= PermissionRule.LARGEST_LOSS_ENDPOINTS) {
            refuse(run);
        } else if (losses > 0 || run.isDoubtful() || asksFirst(fingerprint, now)) {
            ask(run, now);
        } else {
            permit(run, false, false);
        }
    }

    /** Notes which endpoint an attempt was sent to. */
    public void began(String runId, EndpointStart endpoint) {
        LocalRun run = mRuns.get(runId);
        if (run != null) {
            run.beganOn(endpoint);
        }
    }

    /** Notes that the whole answer of an attempt arrived. */
    public void finished(String runId) {
        LocalRun run = mRuns.get(runId);
        if (run != null) {
            end(run, true, null);
        }
    }

    /** Notes that an attempt was cancelled or provably has not begun. */
    public void released(String runId) {
        LocalRun run = mRuns.get(runId);
        if (run != null) {
            end(run, false, null);
        }
    }

    /** Notes that an attempt broke off for a reason not yet known. */
    public void failed(String runId) {
        LocalRun run = mRuns.get(runId);
        if (run != null && run.state() == LocalRun.State.RUNNING) {
            run.doubt(mClock.millis() + mSettings.doubtMilliseconds());
            mDoubtfulRuns++;
        }
    }

    /** Notes that an endpoint died; all attempts on it are suspected. */
    public void endpointLost(EndpointStart endpoint) {
        for (LocalRun run : List.copyOf(mRuns.values())) {
            if (run.isOn(endpoint)) {
                end(run, false, endpoint);
            }
        }
    }

    /** Takes in a message of another node. */
    public void received(QuarantineMessage message) {
        switch (message.getKindCase()) {
            case ASK -> answer(message.getSender(), message.getAsk());
            case VERDICT -> decided(message.getSender(), message.getVerdict());
            case END -> endReceived(message.getSender(), message.getEnd());
            case END_RECEIVED -> forget(message.getEndReceived().getRunId());
            case LOSS -> lossLearned(message.getLoss());
            case CLEARED -> clearedLearned(message.getCleared());
            default -> {}
        }
    }

    /** Takes in a record of the log, in order. */
    public void recorded(QuarantineRecord record) {
        if (record.type().equals(QuarantineRecord.LOSS)) {
            mSuspects.add(record.requestFingerprint(), record.lost(), record.atMilliseconds());
        } else if (record.type().equals(QuarantineRecord.CLEARED)) {
            mSuspects.clear(
                    record.requestFingerprint(), List.of(record.lost()), record.atMilliseconds());
        }
    }

    /** Replaces the live nodes, this one among them. */
    public void nodesChanged(List<String> nodes) {
        long now = mClock.millis();
        mHomes.change(nodes);
        mDuty.nodesChanged(now);
        for (LocalRun run : List.copyOf(mRuns.values())) {
            boolean running =
                    run.state() == LocalRun.State.RUNNING || run.state() == LocalRun.State.DOUBTFUL;
            if (running && run.isRegistered()) {
                sendAsk(run, true);
            } else if (!running) {
                run.sent(now);
            }
        }
    }

    /** Sends again what was not answered and forgets what has expired; called often. */
    public void tick() {
        long now = mClock.millis();
        mSuspects.expire(now);
        mDuty.expire(now);
        for (LocalRun run : List.copyOf(mRuns.values())) {
            if (run.doubtIsOver(now)) {
                end(run, false, null);
            } else if (run.state() == LocalRun.State.ASKING) {
                askAgain(run, now);
            } else if (run.state() == LocalRun.State.ENDING) {
                endAgain(run, now);
            }
        }
    }

    /** Returns the requests with losses that are remembered. */
    public int suspects() {
        return mSuspects.size();
    }

    /** Returns whether a request is refused. */
    public boolean isQuarantined(Fingerprint fingerprint) {
        int losses = mSuspects.losses(fingerprint, mClock.millis());
        return losses >= PermissionRule.LARGEST_LOSS_ENDPOINTS;
    }

    private boolean asksFirst(Fingerprint fingerprint, long now) {
        return mSettings.asksBeforeEachRun() && !mHarmless.contains(fingerprint, now);
    }

    private boolean hasDoubtfulRun(Fingerprint fingerprint) {
        return mDoubtfulRuns > 0
                && mRuns.values().stream()
                        .anyMatch(
                                run ->
                                        run.state() == LocalRun.State.DOUBTFUL
                                                && run.fingerprint().equals(fingerprint));
    }

    private void askAgain(LocalRun run, long now) {
        int losses = mSuspects.losses(run.fingerprint(), now);
        if (losses >= PermissionRule.LARGEST_LOSS_ENDPOINTS) {
            refuse(run);
        } else if (mSettings.runsWithoutHome()
                && losses == 0
                && !run.isDoubtful()
                && !run.wasAnswered()
                && run.askedFor(mSettings.homeTimeoutMilliseconds(), now)) {
            permit(run, false, true);
        } else if (run.isDueToSend(now)) {
            ask(run, now);
        }
    }

    private void endAgain(LocalRun run, long now) {
        if (run.endedFor(mSettings.runMilliseconds(), now)) {
            mRuns.remove(run.runId());
        } else if (run.isDueToSend(now)) {
            sendEnd(run, now);
        }
    }

    private void ask(LocalRun run, long now) {
        run.asked();
        run.sent(now + mSettings.askAgainMilliseconds());
        sendAsk(run, false);
    }

    private void sendAsk(LocalRun run, boolean held) {
        RunAsk ask =
                RunAsk.newBuilder()
                        .setFingerprint(run.fingerprint().bytes())
                        .setRunId(run.runId())
                        .setHeld(held)
                        .setDoubtful(run.isDoubtful())
                        .build();
        deliver(homeOf(run), message().setAsk(ask).build());
    }

    private void answer(String sender, RunAsk ask) {
        Fingerprint fingerprint = new Fingerprint(ask.getFingerprint());
        Permission permission = mDuty.decide(sender, ask, mClock.millis());
        if (ask.getHeld()) {
            return;
        }
        sendVerdict(sender, ask.getRunId(), fingerprint, permission);
        if (permission == Permission.WAIT) {
            // A node that doesn't know an attempt answers its verdict with the attempt's end.
            mDuty.holders(fingerprint)
                    .forEach(
                            (runId, node) ->
                                    sendVerdict(
                                            node, runId, fingerprint, mDuty.permissionOf(runId)));
        }
    }

    private void sendVerdict(
            String node, String runId, Fingerprint fingerprint, Permission permission) {
        RunVerdict verdict =
                RunVerdict.newBuilder()
                        .setRunId(runId)
                        .setFingerprint(fingerprint.bytes())
                        .setPermission(permission)
                        .build();
        deliver(node, message().setVerdict(verdict).build());
    }

    private void decided(String sender, RunVerdict verdict) {
        LocalRun run = mRuns.get(verdict.getRunId());
        if (run == null) {
            endUnknown(sender, verdict);
            return;
        }
        if (run.state() != LocalRun.State.ASKING) {
            return;
        }
        run.answered();
        switch (verdict.getPermission()) {
            case RUN -> permit(run, false, true);
            case RUN_ISOLATED -> permit(run, true, true);
            case REFUSE -> refuse(run);
            default -> {}
        }
    }

    /** Ends an attempt at a home node that took a late ask for a new one. */
    private void endUnknown(String sender, RunVerdict verdict) {
        RunEnd end =
                RunEnd.newBuilder()
                        .setFingerprint(verdict.getFingerprint())
                        .setRunId(verdict.getRunId())
                        .build();
        deliver(sender, message().setEnd(end).build());
    }

    private void permit(LocalRun run, boolean isolated, boolean registered) {
        run.run(registered);
        mOutbox.permit(run.runId(), isolated);
    }

    private void refuse(LocalRun run) {
        end(run, false, null);
        mOutbox.refuse(run.runId());
    }

    private void end(LocalRun run, boolean finished, EndpointStart lost) {
        if (run.state() == LocalRun.State.ENDING) {
            return;
        }
        mDoubtfulRuns -= run.state() == LocalRun.State.DOUBTFUL ? 1 : 0;
        long now = mClock.millis();
        run.end(finished, lost, now);
        if (lost != null) {
            addLoss(run.fingerprint(), lost, now);
        } else if (finished && mSuspects.losses(run.fingerprint(), now) > 0) {
            clear(run.fingerprint(), now);
        }
        if (finished) {
            mHarmless.add(run.fingerprint(), now);
        }
        if (run.wasAsked()) {
            sendEnd(run, now);
        } else {
            mRuns.remove(run.runId());
        }
    }

    private void addLoss(Fingerprint fingerprint, EndpointStart lost, long now) {
        if (!mSuspects.add(fingerprint, lost, now)) {
            return;
        }
        EndpointLoss loss =
                EndpointLoss.newBuilder()
                        .setFingerprint(fingerprint.bytes())
                        .setLost(lost.toMessage())
                        .build();
        mOutbox.broadcast(message().setLoss(loss).build());
        mOutbox.append(QuarantineRecord.of(QuarantineRecord.LOSS, fingerprint, lost, now));
    }

    private void clear(Fingerprint fingerprint, long now) {
        List<EndpointStart> losses = mSuspects.lost(fingerprint);
        mSuspects.clear(fingerprint, losses, now);
        LossCleared.Builder cleared = LossCleared.newBuilder().setFingerprint(fingerprint.bytes());
        for (EndpointStart lost : losses) {
            cleared.addLosses(lost.toMessage());
            mOutbox.append(QuarantineRecord.of(QuarantineRecord.CLEARED, fingerprint, lost, now));
        }
        mOutbox.broadcast(message().setCleared(cleared).build());
    }

    private void sendEnd(LocalRun run, long now) {
        run.sent(now + mSettings.askAgainMilliseconds());
        RunEnd.Builder end =
                RunEnd.newBuilder()
                        .setFingerprint(run.fingerprint().bytes())
                        .setRunId(run.runId())
                        .setFinished(run.finished());
        if (run.lost() != null) {
            end.setLost(run.lost().toMessage());
        }
        deliver(homeOf(run), message().setEnd(end).build());
    }

    private void endReceived(String sender, RunEnd end) {
        long now = mClock.millis();
        Fingerprint fingerprint = new Fingerprint(end.getFingerprint());
        if (end.hasLost()) {
            mSuspects.add(fingerprint, EndpointStart.of(end.getLost()), now);
        } else if (end.getFinished() && mSuspects.losses(fingerprint, now) > 0) {
            clear(fingerprint, now);
        }
        if (end.getFinished()) {
            mHarmless.add(fingerprint, now);
        }
        mDuty.ended(end.getRunId());
        RunEndReceived received = RunEndReceived.newBuilder().setRunId(end.getRunId()).build();
        deliver(sender, message().setEndReceived(received).build());
    }

    private void forget(String runId) {
        LocalRun run = mRuns.get(runId);
        if (run != null && run.state() == LocalRun.State.ENDING) {
            mRuns.remove(runId);
        }
    }

    private void lossLearned(EndpointLoss loss) {
        mSuspects.add(
                new Fingerprint(loss.getFingerprint()),
                EndpointStart.of(loss.getLost()),
                mClock.millis());
    }

    private void clearedLearned(LossCleared cleared) {
        List<EndpointStart> losses = new ArrayList<>();
        cleared.getLossesList().forEach(lost -> losses.add(EndpointStart.of(lost)));
        mSuspects.clear(new Fingerprint(cleared.getFingerprint()), losses, mClock.millis());
    }

    private String homeOf(LocalRun run) {
        return mHomes.of(run.fingerprint());
    }

    private QuarantineMessage.Builder message() {
        return QuarantineMessage.newBuilder().setSender(mNode);
    }

    private void deliver(String node, QuarantineMessage message) {
        if (mHomes.isSelf(node)) {
            received(message);
        } else {
            mOutbox.send(node, message);
        }
    }
}
