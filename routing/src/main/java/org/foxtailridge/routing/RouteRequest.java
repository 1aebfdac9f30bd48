package org.foxtailridge.routing;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.core.name.EndpointName;

/**
 * One request as routing sees it. Immutable.
 *
 * <pre>{@code
 * RouteRequest request =
 *         RouteRequest.builder("request-1", new ModelTarget("lots", "v1", Optional.empty()))
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
    private final Set<EndpointName> mExcluded;
    private final boolean mIsolated;
    private final boolean mBegun;
    private final int mPreemptions;

    private RouteRequest(Builder builder) {
        mRequestId = builder.mRequestId;
        mTarget = builder.mTarget;
        mClientAccount = builder.mClientAccount;
        mWorkClass = builder.mWorkClass;
        mPrefixes = builder.mPrefixes;
        mPromptTokens = builder.mPromptTokens;
        mMaximumTokens = builder.mMaximumTokens;
        mDeadline = builder.mDeadline;
        mExcluded = builder.mExcluded;
        mIsolated = builder.mIsolated;
        mBegun = builder.mBegun;
        mPreemptions = builder.mPreemptions;
    }

    /** Returns a builder for a request. */
    public static Builder builder(String requestId, RouteTarget target) {
        return new Builder(requestId, target);
    }

    /** Returns a builder that starts with the values of this request. */
    public Builder toBuilder() {
        Builder builder = new Builder(mRequestId, mTarget);
        builder.mClientAccount = mClientAccount;
        builder.mWorkClass = mWorkClass;
        builder.mPrefixes = mPrefixes;
        builder.mPromptTokens = mPromptTokens;
        builder.mMaximumTokens = mMaximumTokens;
        builder.mDeadline = mDeadline;
        builder.mExcluded = mExcluded;
        builder.mIsolated = mIsolated;
        builder.mBegun = mBegun;
        builder.mPreemptions = mPreemptions;
        return builder;
    }

    /** Returns the identifier of the request. */
    public String requestId() {
        return mRequestId;
    }

    /** Returns the model or service. */
    public RouteTarget target() {
        return mTarget;
    }

    /** Returns the name of the client account. */
    public String clientAccount() {
        return mClientAccount;
    }

    /** Returns the class of work. */
    public WorkClass workClass() {
        return mWorkClass;
    }

    /** Returns the prefixes of the prompt, from the shortest to the longest. */
    public List<PromptPrefix> prefixes() {
        return mPrefixes;
    }

    /** Returns the length of the prompt, in tokens. */
    public int promptTokens() {
        return mPromptTokens;
    }

    /** Returns the largest number of tokens of the answer. */
    public int maximumTokens() {
        return mMaximumTokens;
    }

    /** Returns the instant by which the first token or, for work due by a time, the end is due. */
    public Optional<Instant> deadline() {
        return mDeadline;
    }

    /** Returns endpoints that must not be chosen. */
    public Set<EndpointName> excludedEndpoints() {
        return mExcluded;
    }

    /** Returns whether the request may run only where nothing of this node runs beside it. */
    public boolean isIsolated() {
        return mIsolated;
    }

    /** Returns whether an earlier attempt may have begun, so that "not run" would be untrue. */
    public boolean mayHaveBegun() {
        return mBegun;
    }

    /** Returns how often it was cancelled to make room. */
    public int preemptionCount() {
        return mPreemptions;
    }

    /**
     * Returns the rest of this request after an attempt was cancelled to make room.
     *
     * @param generatedTokens tokens of the answer that are kept and repeated as part of the prompt
     */
    public RouteRequest afterPreemption(int generatedTokens) {
        Builder rest = toBuilder();
        rest.mPromptTokens = mPromptTokens + generatedTokens;
        rest.mMaximumTokens = Math.max(0, mMaximumTokens - generatedTokens);
        rest.mPreemptions = mPreemptions + 1;
        rest.mBegun = true;
        return rest.build();
    }

    /** Returns prompt and answer together, in tokens. */
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
        private Set<EndpointName> mExcluded = Set.of();
        private boolean mIsolated;
        private boolean mBegun;
        private int mPreemptions;

        private Builder(String requestId, RouteTarget target) {
            mRequestId = Objects.requireNonNull(requestId, "requestId");
            mTarget = Objects.requireNonNull(target, "target");
        }

        /** Sets the name of the client account; empty for open routes. */
        public Builder clientAccount(String clientAccount) {
            mClientAccount = Objects.requireNonNull(clientAccount, "clientAccount");
            return this;
        }

        /** Sets the class of work. */
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

        /** Sets the largest number of tokens of the answer. */
        public Builder maximumTokens(int tokens) {
            mMaximumTokens = requireNotNegative(tokens);
            return this;
        }

        /** Sets the instant by which the first token or, for work due by a time, the end is due. */
        public Builder deadline(Instant deadline) {
            mDeadline = Optional.of(deadline);
            return this;
        }

        /** Sets endpoints that must not be chosen. */
        public Builder excludedEndpoints(Set<EndpointName> excluded) {
            mExcluded = Set.copyOf(excluded);
            return this;
        }

        /** Sets whether the request may run only where nothing of this node runs beside it. */
        public Builder isolated(boolean isolated) {
            mIsolated = isolated;
            return this;
        }

        /** Sets whether an earlier attempt may have begun. */
        public Builder mayHaveBegun(boolean begun) {
            mBegun = begun;
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
