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
 * Builds terms of requests for tests: a stream without model that has 15 s, unless said otherwise.
 *
 * <pre>{@code
 * RequestTerms terms = TestTerms.of(RequestKind.STREAM).model("m").time(3_000).build();
 * }</pre>
 */
public final class TestRequests {
    private final RequestKind mKind;
    private Optional<WantedModel> mModel = Optional.empty();
    private OptionalInt mOutputTokens = OptionalInt.empty();
    private Optional<Duration> mEventPatience = Optional.empty();
    private long mArrived;
    private long mTime = 15_000;

    private TestRequests(RequestKind kind) {
        mKind = kind;
    }

    /** Returns a builder for a kind of request. */
    public static TestRequests of(RequestKind kind) {
        return new TestRequests(kind);
    }

    /** Sets the model. */
    public TestRequests model(String model) {
        mModel = Optional.of(new WantedModel(model, Optional.empty()));
        return this;
    }

    /** Sets the most tokens of the answer. */
    public TestRequests outputTokens(int tokens) {
        mOutputTokens = OptionalInt.of(tokens);
        return this;
    }

    /** Sets the time after which callers leave a stream without an event. */
    public TestRequests eventPatience(Optional<Duration> patience) {
        mEventPatience = patience;
        return this;
    }

    /** Sets when the request came, in milliseconds since the epoch. */
    public TestRequests arrived(long milliseconds) {
        mArrived = milliseconds;
        return this;
    }

    /** Sets the time that the request has, in milliseconds. */
    public TestRequests time(long milliseconds) {
        mTime = milliseconds;
        return this;
    }

    /** Returns the terms. */
    public ResolvedRequest build() {
        ForwardingRoute route =
                new ForwardingRoute(
                        "route",
                        "host",
                        "/",
                        mKind,
                        Duration.ofMillis(mTime),
                        Duration.ofMillis(400),
                        0,
                        List.of(new WeightedService("service", 1)),
                        1,
                        true,
                        false,
                        Optional.empty(),
                        mEventPatience);
        RequestMetadata facts =
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
                "run", facts, route, "service", Optional.empty(), mArrived, mArrived + mTime, 0);
    }
}
