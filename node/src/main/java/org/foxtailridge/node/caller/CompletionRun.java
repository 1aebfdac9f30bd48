package org.foxtailridge.node.caller;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.platform.engine.AttemptIdentity;
import org.foxtailridge.platform.engine.CompletionCall;
import org.foxtailridge.platform.engine.CompletionListener;
import org.foxtailridge.platform.engine.CompletionStream;
import org.foxtailridge.platform.engine.CompletionToken;
import org.foxtailridge.platform.engine.Usage;
import org.foxtailridge.routing.AttemptEnd;
import org.foxtailridge.routing.EnginePriority;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.RoutingDecision;

/**
 * One completion from admission to the last byte: reserves tokens, chooses an endpoint, passes
 * tokens on in order, tries another endpoint while the caller has seen nothing, and settles.
 */
final class CompletionRun implements RunningRequest, CompletionListener {
    private static final Logger LOGGER = LogManager.getLogger(CompletionRun.class);
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final CompletionServices mServices;
    private final CallerExchange mExchange;
    private final Caller mCaller;
    private final CompletionRequest mRequest;
    private final ModelChoice mChoice;
    private final AnswerSink mSink;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final Set<EndpointName> mExcluded = new HashSet<>();
    private volatile Reservation mReservation;
    private volatile AttemptIdentity mAttempt;
    private volatile Endpoint mEndpoint;
    private volatile CompletionStream mStream;
    private volatile boolean mDispatched;
    private int mAttempts;
    private int mNextIndex;
    private Usage mUsage;

    CompletionRun(
            CompletionServices services,
            CallerExchange exchange,
            Caller caller,
            CompletionRequest request,
            ModelChoice choice,
            AnswerSink sink) {
        mServices = services;
        mExchange = exchange;
        mCaller = caller;
        mRequest = request;
        mChoice = choice;
        mSink = sink;
    }

    /** Starts the run; it ends by itself. */
    void start() {
        mServices.running().add(this);
        long tokens = (long) mRequest.promptTokens() + mRequest.maximumTokens();
        mServices
                .limits()
                .reserve(ClientAccountName.of(mCaller.clientAccount()), tokens)
                .whenComplete(this::onReserved);
    }

    @Override
    public String key() {
        return mCaller.key();
    }

    @Override
    public String clientAccount() {
        return mCaller.clientAccount();
    }

    @Override
    public void keyWithdrawn() {
        end(AttemptEnd.CANCELLED, CompletionFailedException.keyWithdrawn(mDispatched));
    }

    @Override
    public void onToken(CompletionStream stream, CompletionToken token) {
        if (mEnded.get()) {
            return;
        }
        if (!mAttempt.matches(token) || token.index() != mNextIndex || mUsage != null) {
            stream.abort();
            end(
                    AttemptEnd.FAILED,
                    CompletionFailedException.midway(mNextIndex, "a token of another answer"));
            return;
        }
        mNextIndex++;
        if (mNextIndex == 1) {
            mServices.routing().firstTokenArrived(mAttempt.attemptId());
        }
        if (token.isLast()) {
            mUsage = token.usage();
        }
        mSink.token(token, Callback.from(stream::demand, this::onCallerGone));
    }

    @Override
    public void onDone() {
        if (mUsage == null) {
            onBroken(true, new IllegalStateException("the answer ended without a finish reason"));
            return;
        }
        if (beginEnd(AttemptEnd.FINISHED)) {
            mSink.finish(mUsage);
        }
    }

    @Override
    public void onRefused(int status, String reason, boolean notStarted) {
        AttemptEnd attemptEnd = notStarted ? AttemptEnd.NOT_STARTED : AttemptEnd.FAILED;
        retryOrFail(attemptEnd, "status " + status + " (" + reason + ")");
    }

    @Override
    public void onBroken(boolean mayHaveStarted, Throwable cause) {
        if (mEnded.get()) {
            return;
        }
        LOGGER.info("attempt {} broke off", mAttempt.attemptId(), cause);
        AttemptEnd attemptEnd = mayHaveStarted ? AttemptEnd.FAILED : AttemptEnd.NOT_STARTED;
        retryOrFail(attemptEnd, "a broken connection");
    }

    private void onReserved(Reservation reservation, Throwable failure) {
        if (failure != null) {
            end(AttemptEnd.NOT_STARTED, FoxtailridgeException.from(failure));
            return;
        }
        mReservation = reservation;
        if (mEnded.get()) {
            mServices.limits().settle(reservation, 0);
            return;
        }
        route();
    }

    private void route() {
        mAttempts++;
        String attemptId = mServices.identifiers().next();
        mAttempt = new AttemptIdentity(mExchange.requestId(), attemptId);
        mServices.routing().dispatch(attemptId, routeRequest()).whenComplete(this::onDispatch);
    }

    private RouteRequest routeRequest() {
        RouteTarget target =
                new RouteTarget.ModelTarget(
                        mChoice.model().name(), mChoice.model().version(), mChoice.adapterName());
        RouteRequest.Builder builder =
                RouteRequest.builder(mExchange.requestId(), target)
                        .clientAccount(mCaller.clientAccount())
                        .workClass(mRequest.workClass())
                        .promptTokens(mRequest.promptTokens())
                        .maximumTokens(mRequest.maximumTokens())
                        .excluded(mExcluded);
        mRequest.due().ifPresent(builder::deadline);
        return builder.build();
    }

    private void onDispatch(RoutingDecision.Dispatch dispatch, Throwable failure) {
        if (failure != null) {
            end(AttemptEnd.NOT_STARTED, FoxtailridgeException.from(failure));
            return;
        }
        Endpoint endpoint =
                mServices
                        .configuration()
                        .current()
                        .find(Endpoint.class, dispatch.endpoint().value())
                        .orElse(null);
        if (endpoint == null || mEnded.get()) {
            retryOrFail(AttemptEnd.NOT_STARTED, "no longer listed");
            return;
        }
        mEndpoint = endpoint;
        mExchange.sentTo(endpoint.name());
        mDispatched = true;
        mStream =
                mServices
                        .engines()
                        .complete(endpoint.address(), mAttempt, call(dispatch.version()), this);
        if (mEnded.get()) {
            cancelAttempt();
        }
    }

    private CompletionCall call(String version) {
        return new CompletionCall(
                mChoice.model().name(),
                version,
                mChoice.adapterName().orElse(null),
                mRequest.prompt(),
                mRequest.messages(),
                mRequest.maximumTokens(),
                true,
                EnginePriority.of(mRequest.workClass()));
    }

    private void retryOrFail(AttemptEnd attemptEnd, String reason) {
        if (mEnded.get()) {
            return;
        }
        if (mNextIndex > 0) {
            end(attemptEnd, CompletionFailedException.midway(mNextIndex, reason));
            return;
        }
        if (mAttempts >= MAXIMUM_ATTEMPTS || mEndpoint == null) {
            String name = mEndpoint == null ? "none" : mEndpoint.name();
            end(attemptEnd, CompletionFailedException.beforeFirstToken(name, reason));
            return;
        }
        mServices.routing().attemptEnded(mAttempt.attemptId(), attemptEnd);
        mExcluded.add(EndpointName.of(mEndpoint.name()));
        route();
    }

    private void onCallerGone(Throwable cause) {
        if (beginEnd(AttemptEnd.CANCELLED)) {
            cancelAttempt();
            mExchange.abandon(cause);
        }
    }

    private void end(AttemptEnd attemptEnd, FoxtailridgeException failure) {
        if (beginEnd(attemptEnd)) {
            if (mDispatched) {
                cancelAttempt();
            }
            mSink.fail(failure);
        }
    }

    /** Returns whether this call is the one that ends the run; settles and releases if it is. */
    private boolean beginEnd(AttemptEnd attemptEnd) {
        if (!mEnded.compareAndSet(false, true)) {
            return false;
        }
        mServices.running().remove(this);
        if (mAttempt != null) {
            mServices.routing().attemptEnded(mAttempt.attemptId(), attemptEnd);
        }
        if (mReservation != null) {
            mServices.limits().settle(mReservation, usedTokens());
        }
        return true;
    }

    private long usedTokens() {
        if (mUsage != null) {
            return (long) mUsage.promptTokens() + mUsage.completionTokens();
        }
        return mNextIndex == 0 ? 0 : (long) mRequest.promptTokens() + mNextIndex;
    }

    private void cancelAttempt() {
        CompletionStream stream = mStream;
        if (stream != null) {
            stream.abort();
        }
        Endpoint endpoint = mEndpoint;
        if (endpoint != null) {
            mServices.engines().cancel(endpoint.address(), mAttempt.attemptId());
        }
    }
}
