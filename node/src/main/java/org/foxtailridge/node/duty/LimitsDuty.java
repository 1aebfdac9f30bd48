package org.foxtailridge.node.duty;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.membership.lease.HeldLease;
import org.foxtailridge.membership.lease.Lease;
import org.foxtailridge.node.caller.RefusedException;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.limits.LimitsMessage;

/** Runs the token limiter on a thread of its own. */
@Singleton
public final class LimitsDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(LimitsDuty.class);

    private final DutyThread mThread;
    private final TokenLimiter mLimiter;
    private final DutyTimer mTimer;
    private final NodeName mSelf;
    private final Map<ClientAccountName, HeldLease> mHomes = new HashMap<>();
    private final CompletableFuture<Void> mReleased = new CompletableFuture<>();
    private List<ClientAccountName> mAccounts = List.of();
    private boolean mReleasing;

    /** Creates the duty and starts its thread. */
    @Inject
    public LimitsDuty(
            NodeSettings settings,
            TokenLimiter limiter,
            ConfigurationView configuration,
            LeasesDuty leases,
            PeerIdentity identity,
            PeerMessages messages,
            DutyTimer timer) {
        mLimiter = limiter;
        mTimer = timer;
        mSelf = identity.name();
        mThread = DutyThread.start("limits", settings.ringTasks());
        configuration.listen(this::onConfiguration);
        leases.listen(holding -> mThread.offer(() -> onHolding(holding)));
        messages.receive(Subject.LIMITS, this::onMessage);
        timer.every(Duration.ofMillis(TokenLimiter.TICK_MILLISECONDS), mThread, mLimiter::tick);
    }

    /** Sets tokens aside; fails with {@link RefusedException}. */
    public CompletableFuture<Reservation> reserve(ClientAccountName account, long tokens) {
        CompletableFuture<Reservation> reservation = new CompletableFuture<>();
        boolean offered =
                mThread.offer(
                        () ->
                                mLimiter.reserve(
                                        account, tokens, answer -> decide(answer, reservation)));
        if (!offered) {
            reservation.completeExceptionally(RefusedException.overloaded("the ring of limits"));
        }
        return reservation;
    }

    /** Settles a reservation to what was used. */
    public void settle(Reservation reservation, long usedTokens) {
        mTimer.offerSurely(mThread, () -> mLimiter.settle(reservation, usedTokens));
    }

    /**
     * Stops granting for good, so that the next home nodes can be handed the state.
     *
     * @return completes once every home is known to be elsewhere
     */
    public CompletableFuture<Void> releaseHomes() {
        mTimer.offerSurely(
                mThread,
                () -> {
                    mHomes.keySet().forEach(mLimiter::stopGranting);
                    mReleasing = true;
                    completeIfReleased();
                });
        return mReleased;
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void onMessage(NodeName sender, ByteString payload) {
        try {
            LimitsMessage message = LimitsMessage.parseFrom(payload);
            mThread.offer(() -> mLimiter.receive(sender, message));
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("node {} sent a message of limits that can't be read", sender);
        }
    }

    private void onHolding(DutyHolding holding) {
        for (ClientAccountName account : mAccounts) {
            String duty = DutyNames.homeOf(account.value());
            Optional<Lease> shown = holding.shownOf(duty);
            if (shown.isPresent()) {
                onHome(account, shown.get(), holding.heldOf(duty));
            }
        }
    }

    private void onHome(ClientAccountName account, Lease shown, Optional<HeldLease> held) {
        if (held.isPresent() && held.get().fencing() == shown.fencing()) {
            HeldLease former = mHomes.put(account, held.get());
            if (!held.get().equals(former)) {
                mLimiter.homeLeaseHeld(
                        new HomeLease(
                                account,
                                shown.fencing(),
                                held.get().validUntil(),
                                shown.formerFencing()));
            }
        } else if (!shown.node().equals(mSelf)) {
            mHomes.remove(account);
            mLimiter.homeNodeChanged(account, shown.node(), shown.fencing());
            completeIfReleased();
        }
    }

    private void completeIfReleased() {
        if (mReleasing && mHomes.isEmpty()) {
            mReleased.complete(null);
        }
    }

    private static void decide(Admission admission, CompletableFuture<Reservation> reservation) {
        if (admission instanceof Admission.Granted granted) {
            reservation.complete(granted.reservation());
        } else {
            reservation.completeExceptionally(refusal(admission));
        }
    }

    private static RefusedException refusal(Admission admission) {
        if (admission instanceof Admission.Refused refused) {
            int seconds = (int) Math.max(1, refused.retryAfter().plusMillis(999).toSeconds());
            return RefusedException.withRetryAfter(
                    ErrorKind.RATE_EXCEEDED, "the client account has no tokens left", seconds);
        }
        if (admission instanceof Admission.LargerThanBurst larger) {
            return RefusedException.of(
                    ErrorKind.LARGER_THAN_BURST,
                    "expected prompt and max_tokens together to take at most "
                            + larger.maximumTokens()
                            + " tokens");
        }
        if (admission instanceof Admission.Overloaded) {
            return RefusedException.overloaded("the limiter");
        }
        return RefusedException.of(
                ErrorKind.NOT_READY, "this VM does not know the client account's plan yet");
    }

    private void onConfiguration(Configuration former, Configuration current) {
        mTimer.offerSurely(mThread, () -> applyLimits(former, current));
    }

    private void applyLimits(Configuration former, Configuration current) {
        mAccounts =
                current.all(ClientAccount.class).stream()
                        .map(account -> ClientAccountName.of(account.name()))
                        .toList();
        for (ClientAccount account : current.all(ClientAccount.class)) {
            current.find(Plan.class, account.plan())
                    .ifPresent(plan -> changeLimit(account.name(), plan));
        }
        for (ClientAccount account : former.all(ClientAccount.class)) {
            if (current.find(ClientAccount.class, account.name()).isEmpty()) {
                mLimiter.limitRemoved(ClientAccountName.of(account.name()));
            }
        }
    }

    private void changeLimit(String account, Plan plan) {
        mLimiter.limitChanged(
                ClientAccountName.of(account),
                TokenLimit.of(plan.rateTokensPerSecond(), plan.burstTokens()));
    }
}
