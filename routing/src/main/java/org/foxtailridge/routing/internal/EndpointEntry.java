package org.foxtailridge.routing.internal;

import java.util.Set;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;

/**
 * State of one configured endpoint as this node knows it: reports, attempts in flight, limits and
 * health. Confined to the router's thread.
 */
public final class EndpointEntry {
    private final EndpointName mName;
    private final InFlightHistory mHistory = new InFlightHistory();
    private final ConcurrencyLimit mLimit = new ConcurrencyLimit();
    private final EndpointHealth mHealth = new EndpointHealth();
    private final LatencyRatio mLatencyRatio = new LatencyRatio();
    private final CacheEventCursor mCacheEventCursor = new CacheEventCursor();
    private Endpoint mConfiguration;
    private EndpointState mState = EndpointState.UP;
    private LoadReport mReport;
    private Set<CandidateKey> mKeys = Set.of();
    private int mInFlight;
    private int mOtherNodesInFlight;
    private long mPendingPromptTokens;
    private boolean mRunsIsolatedRequest;

    EndpointEntry(Endpoint configuration) {
        mName = EndpointName.of(configuration.name());
        mConfiguration = configuration;
    }

    public EndpointName name() {
        return mName;
    }

    /** Returns the endpoint's entry in the configuration. */
    public Endpoint configuration() {
        return mConfiguration;
    }

    public ConcurrencyLimit limit() {
        return mLimit;
    }

    public EndpointHealth health() {
        return mHealth;
    }

    public LatencyRatio latencyRatio() {
        return mLatencyRatio;
    }

    public CacheEventCursor cacheEventCursor() {
        return mCacheEventCursor;
    }

    /** Returns the number of attempts in flight that this node started. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the estimated number of attempts in flight of all nodes. */
    public int totalInFlight() {
        return mInFlight + mOtherNodesInFlight;
    }

    /** Returns the prompt tokens of this node's attempts that still wait for a first token. */
    public long pendingPromptTokens() {
        return mPendingPromptTokens;
    }

    /** Returns the estimated number of attempts in flight of other nodes. */
    public int otherNodesInFlight() {
        return mOtherNodesInFlight;
    }

    /** Returns whether an isolated request of this node runs on the endpoint. */
    public boolean runsIsolatedRequest() {
        return mRunsIsolatedRequest;
    }

    /** Returns the latest load report, null before the first. */
    public LoadReport report() {
        return mReport;
    }

    boolean acceptsWork() {
        boolean reportedLeaving = mReport != null && mReport.leaving();
        return mState == EndpointState.UP && !mConfiguration.leaving() && !reportedLeaving;
    }

    EndpointState state() {
        return mState;
    }

    Set<CandidateKey> keys() {
        return mKeys;
    }

    void setKeys(Set<CandidateKey> keys) {
        mKeys = keys;
    }

    void setConfiguration(Endpoint configuration) {
        mConfiguration = configuration;
    }

    void setState(EndpointState state) {
        mState = state;
    }

    /**
     * Stores a report unless it is older than the latest one; returns whether it was stored. The
     * attempts of other nodes are the reported ones minus those that this node had in flight at the
     * time of the report.
     */
    boolean acceptReport(LoadReport report) {
        boolean older =
                mReport != null
                        && (report.incarnation() < mReport.incarnation()
                                || (report.incarnation() == mReport.incarnation()
                                        && report.asOfMilliseconds() < mReport.asOfMilliseconds()));
        if (older) {
            return false;
        }
        mReport = report;
        int ownThen = mHistory.countAt(report.asOfMilliseconds(), mInFlight);
        mOtherNodesInFlight = Math.max(0, report.running() + report.waiting() - ownThen);
        return true;
    }

    void started(long nowMilliseconds, int promptTokens, boolean isolated) {
        mInFlight++;
        mPendingPromptTokens += promptTokens;
        mRunsIsolatedRequest |= isolated;
        mHistory.add(nowMilliseconds, mInFlight);
    }

    void promptComputed(int promptTokens) {
        mPendingPromptTokens -= promptTokens;
    }

    void ended(long nowMilliseconds, boolean isolated) {
        mInFlight--;
        if (isolated) {
            mRunsIsolatedRequest = false;
        }
        mHistory.add(nowMilliseconds, mInFlight);
    }
}
