package org.foxtailridge.forwarding.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.configuration.WeightedService;

/**
 * Builder of resolved requests for tests. Without further calls, the request names no model and its
 * deadline is 15 s after its arrival.
 *
 * <pre>{@code
 * ResolvedRequest resolved =
 *         TestRequests.of(RequestKind.STREAM).model("m").timeMilliseconds(3_000).build();
 * }</pre>
 */
public final class TestRequests {
    private final RequestKind mKind;
    private Optional<WantedModel> mModel = Optional.empty();
    private OptionalInt mOutputTokens = OptionalInt.empty();
    private Optional<Duration> mEventTimeout = Optional.empty();
    private long mArrivedMilliseconds;
    private long mTimeMilliseconds = 15_000;
    private int mMaximumEndpoints = 1;
    private boolean mResumable;
    private long mCountedTokens;

    private TestRequests(RequestKind kind) {
        mKind = kind;
    }

    /** Returns a builder for a request whose route has the given kind. */
    public static TestRequests of(RequestKind kind) {
        return new TestRequests(kind);
    }

    /** Sets the requested model, without an adapter. */
    public TestRequests model(String model) {
        mModel = Optional.of(new WantedModel(model, Optional.empty()));
        return this;
    }

    /** Sets the maximum length of the answer in tokens. */
    public TestRequests outputTokens(int tokens) {
        mOutputTokens = OptionalInt.of(tokens);
        return this;
    }

    /** Sets the time without an event after which callers close a stream. */
    public TestRequests eventTimeout(Optional<Duration> timeout) {
        mEventTimeout = timeout;
        return this;
    }

    /** Sets the arrival time, in milliseconds since the epoch; 0 by default. */
    public TestRequests arrivedMilliseconds(long milliseconds) {
        mArrivedMilliseconds = milliseconds;
        return this;
    }

    /** Sets the time from arrival to deadline, in milliseconds; 15,000 by default. */
    public TestRequests timeMilliseconds(long milliseconds) {
        mTimeMilliseconds = milliseconds;
        return this;
    }

    /** Sets to how many endpoints the request may be sent; 1 by default. */
    public TestRequests maximumEndpoints(int endpoints) {
        mMaximumEndpoints = endpoints;
        return this;
    }

    /** Allows to resume the stream at another endpoint. */
    public TestRequests resumable() {
        mResumable = true;
        return this;
    }

    /** Sets the tokens that the request takes from a limit; 0 by default. */
    public TestRequests countedTokens(long tokens) {
        mCountedTokens = tokens;
        return this;
    }

    /** Builds a request on an open route with one service. */
    public ResolvedRequest build() {
        ForwardingRoute route =
                new ForwardingRoute(
                        "route",
                        "host",
                        "/",
                        mKind,
                        Duration.ofMillis(mTimeMilliseconds),
                        Duration.ofMillis(400),
                        0,
                        List.of(new WeightedService("service", 1)),
                        mMaximumEndpoints,
                        true,
                        mResumable,
                        Optional.empty(),
                        mEventTimeout);
        RequestMetadata metadata =
                new RequestMetadata(
                        "request",
                        "host",
                        "/",
                        Optional.empty(),
                        OptionalLong.empty(),
                        mModel,
                        OptionalInt.empty(),
                        mOutputTokens,
                        OptionalInt.empty(),
                        List.of(),
                        Optional.empty());
        return new ResolvedRequest(
                "run",
                metadata,
                route,
                "service",
                Optional.empty(),
                mArrivedMilliseconds,
                mArrivedMilliseconds + mTimeMilliseconds,
                mCountedTokens);
    }
}
