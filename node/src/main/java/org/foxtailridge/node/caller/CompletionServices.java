package org.foxtailridge.node.caller;

import java.time.Clock;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.clients.engine.EngineClient;
import org.foxtailridge.node.duty.ConfigurationView;
import org.foxtailridge.node.duty.DemandCounter;
import org.foxtailridge.node.duty.DutyTimer;
import org.foxtailridge.node.duty.LimitsDuty;
import org.foxtailridge.node.duty.ObjectivesDuty;
import org.foxtailridge.node.duty.PlacementDuty;
import org.foxtailridge.node.duty.QuarantineDuty;
import org.foxtailridge.node.duty.ReportsDuty;
import org.foxtailridge.node.duty.RoutingDuty;
import org.foxtailridge.node.metrics.NodeMetrics;

/** What requests are run with. */
@Singleton
final class CompletionServices {
    private final ConfigurationView mConfiguration;
    private final LimitsDuty mLimits;
    private final RoutingDuty mRouting;
    private final QuarantineDuty mQuarantine;
    private final ReportsDuty mReports;
    private final DemandCounter mDemand;
    private final PlacementDuty mPlacement;
    private final ObjectivesDuty mObjectives;
    private final EngineClient mEngines;
    private final RunningRequests mRunning;
    private final AttemptIdentifiers mIdentifiers;
    private final NodeMetrics mMetrics;
    private final DutyTimer mTimer;
    private final Clock mClock;

    @Inject
    CompletionServices(
            ConfigurationView configuration,
            LimitsDuty limits,
            RoutingDuty routing,
            QuarantineDuty quarantine,
            ReportsDuty reports,
            DemandCounter demand,
            PlacementDuty placement,
            ObjectivesDuty objectives,
            EngineClient engines,
            RunningRequests running,
            AttemptIdentifiers identifiers,
            NodeMetrics metrics,
            DutyTimer timer,
            Clock clock) {
        mConfiguration = configuration;
        mLimits = limits;
        mRouting = routing;
        mQuarantine = quarantine;
        mReports = reports;
        mDemand = demand;
        mPlacement = placement;
        mObjectives = objectives;
        mEngines = engines;
        mRunning = running;
        mIdentifiers = identifiers;
        mMetrics = metrics;
        mTimer = timer;
        mClock = clock;
    }

    ConfigurationView configuration() {
        return mConfiguration;
    }

    LimitsDuty limits() {
        return mLimits;
    }

    RoutingDuty routing() {
        return mRouting;
    }

    QuarantineDuty quarantine() {
        return mQuarantine;
    }

    PlacementDuty placement() {
        return mPlacement;
    }

    DemandCounter demand() {
        return mDemand;
    }

    ReportsDuty reports() {
        return mReports;
    }

    ObjectivesDuty objectives() {
        return mObjectives;
    }

    EngineClient engines() {
        return mEngines;
    }

    RunningRequests running() {
        return mRunning;
    }

    AttemptIdentifiers identifiers() {
        return mIdentifiers;
    }

    NodeMetrics metrics() {
        return mMetrics;
    }

    DutyTimer timer() {
        return mTimer;
    }

    Clock clock() {
        return mClock;
    }

    /** Returns times of an answer that begins now. */
    AnswerTimes newTimes(String model) {
        return new AnswerTimes(mClock, mMetrics, model);
    }
}
