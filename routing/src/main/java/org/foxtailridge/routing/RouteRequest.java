package org.foxtailridge.routing;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.core.name.EndpointName;

/**
 * The properties of a request that its routing and queueing depend on. Immutable.
 *
 * <pre>{@code
 * RouteRequest request =
 *         RouteRequest.builder(
 *                         "request-1",
 *                         new RouteTarget.ModelTarget("lots", "v1", Optional.empty()))
 *                 .clientAccount("auctions")
 *                 .workClass(WorkClass.INTERACTIVE)
 *                 .promptTokens(400)
 *                 .maximumTokens(120)
 *                 .build();
 * }</pre>
 */
public final class RouteRequest {
    private final String mRequestId;
    private final RouteTarget mTarget;
    private final String mClientAccount;
    private final WorkClass mWorkClass;
    private final List<PromptPrefix> mPrefixes;
    private final int mPromptTokens;
    private final int mMaximumTokens;
    private final Optional<Instant> mDeadline;
    private final Set<EndpointName> mExcludedEndpoints;
    private final boolean mIsolated;
    private final boolean mMayHaveBegun;
    private final int mPreemptionCount;

    private RouteRequest(Builder builder) {
        mRequestId = builder.mRequestId;
        mTarget = builder.mTarget;
        mClientAccount = builder.mClientAccount;
        mWorkClass = builder.mWorkClass;
        mPrefixes = builder.mPrefixes;
        mPromptTokens = builder.mPromptTokens;
        mMaximumTokens = builder.mMaximumTokens;
        mDeadline = builder.mDeadline;
        mExcludedEndpoints = builder.mExcludedEndpoints;
        mIsolated = builder.mIsolated;
        mMayHaveBegun = builder.mMayHaveBegun;
        mPreemptionCount = builder.mPreemptionCount;
    }

    /** Returns a builder of an interactive request without prompt, deadline or exclusions. */
    public static Builder builder(String requestId, RouteTarget target) {
        return new Builder(requestId, target);
    }

    /** Returns a builder with the values of this request. */
    public Builder toBuilder() {
        Builder builder = new Builder(mRequestId, mTarget);
        builder.mClientAccount = mClientAccount;
        builder.mWorkClass = mWorkClass;
        builder.mPrefixes = mPrefixes;
        builder.mPromptTokens = mPromptTokens;
        builder.mMaximumTokens = mMaximumTokens;
        builder.mDeadline = mDeadline;
        builder.mExcludedEndpoints = mExcludedEndpoints;
        builder.mIsolated = mIsolated;
        builder.mMayHaveBegun = mMayHaveBegun;
        builder.mPreemptionCount = mPreemptionCount;
        return builder;
    }

    /** Returns the identifier of the request, unique on this node. */
    public String requestId() {
        return mRequestId;
    }

    public RouteTarget target() {
        return mTarget;
    }

    public String clientAccount() {
        return mClientAccount;
    }

    public WorkClass workClass() {
        return mWorkClass;
    }

    /** Returns the prefixes of the prompt, from the shortest to the longest. */
    public List<PromptPrefix> prefixes() {
        return mPrefixes;
    }

    public int promptTokens() {
        return mPromptTokens;
    }

    /** Returns the maximum length of the answer, in tokens. */
    public int maximumTokens() {
        return mMaximumTokens;
    }

    /** Returns the instant by which the first token or, for work due by a time, the end is due. */
    public Optional<Instant> deadline() {
        return mDeadline;
    }

    /** Returns the endpoints that must not be chosen. */
    public Set<EndpointName> excludedEndpoints() {
        return mExcludedEndpoints;
    }

    /**
     * Returns whether the request runs apart from others: it is sent only to an endpoint with few
     * or no attempts in flight, and this node sends no other request there while it runs.
     */
    public boolean isIsolated() {
        return mIsolated;
    }

    /**
     * Returns whether an earlier attempt may have begun to execute the request. A refusal must then
     * not say that the request was not run.
     */
    public boolean mayHaveBegun() {
        return mMayHaveBegun;
    }

    public int preemptionCount() {
        return mPreemptionCount;
    }

    /**
     * Returns the rest of this request after the preemption of an attempt.
     *
     * @param generatedTokens number of tokens generated so far, which become part of the prompt
     */
    public RouteRequest afterPreemption(int generatedTokens) {
        Builder rest = toBuilder();
        rest.mPromptTokens = mPromptTokens + generatedTokens;
        rest.mMaximumTokens = Math.max(0, mMaximumTokens - generatedTokens);
        rest.mPreemptionCount = mPreemptionCount + 1;
        rest.mMayHaveBegun = true;
        return rest.build();
    }

    /** Returns the length of the prompt and the maximum length of the answer, in tokens. */
    public int totalTokens() {
        return mPromptTokens + mMaximumTokens;
    }

    /** Builds a {@link RouteRequest}. */
    public static final class Builder {
        private final String mRequestId;
        private final RouteTarget mTarget;
        private String mClientAccount = "";
        private WorkClass mWorkClass = WorkClass.INTERACTIVE;
        private List<PromptPrefix> mPrefixes = List.of();
        private int mPromptTokens;
        private int mMaximumTokens;
        private Optional<Instant> mDeadline = Optional.empty();
        private Set<EndpointName> mExcludedEndpoints = Set.of();
        private boolean mIsolated;
        private boolean mMayHaveBegun;
        private int mPreemptionCount;

        private Builder(String requestId, RouteTarget target) {
            mRequestId = Objects.requireNonNull(requestId, "requestId");
            mTarget = Objects.requireNonNull(target, "target");
        }

        /** Sets the name of the client account; empty by default, for routes without an account. */
        public Builder clientAccount(String clientAccount) {
            mClientAccount = Objects.requireNonNull(clientAccount, "clientAccount");
            return this;
        }

        /** Sets the work class; interactive by default. */
        public Builder workClass(WorkClass workClass) {
            mWorkClass = Objects.requireNonNull(workClass, "workClass");
            return this;
        }

        /** Sets the prefixes of the prompt, from the shortest to the longest. */
        public Builder prefixes(List<PromptPrefix> prefixes) {
            mPrefixes = List.copyOf(prefixes);
            return this;
        }

        /** Sets the length of the prompt, in tokens. */
        public Builder promptTokens(int tokens) {
            mPromptTokens = requireNotNegative(tokens);
            return this;
        }

        /** Sets the maximum length of the answer, in tokens. */
        public Builder maximumTokens(int tokens) {
            mMaximumTokens = requireNotNegative(tokens);
            return this;
        }

        /** Sets the instant by which the first token or, for work due by a time, the end is due. */
        public Builder deadline(Instant deadline) {
            mDeadline = Optional.of(deadline);
            return this;
        }

        /** Sets the endpoints that must not be chosen. */
        public Builder excludedEndpoints(Set<EndpointName> endpoints) {
            mExcludedEndpoints = Set.copyOf(endpoints);
            return this;
        }

        /** Sets whether the request runs apart from others. */
        public Builder isolated(boolean isolated) {
            mIsolated = isolated;
            return this;
        }

        /** Sets whether an earlier attempt may have begun to execute the request. */
        public Builder mayHaveBegun(boolean mayHaveBegun) {
            mMayHaveBegun = mayHaveBegun;
            return this;
        }

        /** Returns the request. */
        public RouteRequest build() {
            return new RouteRequest(this);
        }

        private static int requireNotNegative(int tokens) {
            if (tokens < 0) {
                throw new IllegalArgumentException("tokens must not be negative but was " + tokens);
            }
            return tokens;
        }
    }
}
