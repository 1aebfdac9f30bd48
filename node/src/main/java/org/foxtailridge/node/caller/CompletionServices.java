package org.foxtailridge.node.caller;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.node.duty.ConfigurationView;
import org.foxtailridge.node.duty.LimitsDuty;
import org.foxtailridge.node.duty.RoutingDuty;
import org.foxtailridge.platform.engine.EngineClient;

/** What completions are run with. */
@Singleton
final class CompletionServices {
    private final ConfigurationView mConfiguration;
    private final LimitsDuty mLimits;
    private final RoutingDuty mRouting;
    private final EngineClient mEngines;
    private final RunningRequests mRunning;
    private final AttemptIdentifiers mIdentifiers;

    @Inject
    CompletionServices(
            ConfigurationView configuration,
            LimitsDuty limits,
            RoutingDuty routing,
            EngineClient engines,
            RunningRequests running,
            AttemptIdentifiers identifiers) {
        mConfiguration = configuration;
        mLimits = limits;
        mRouting = routing;
        mEngines = engines;
        mRunning = running;
        mIdentifiers = identifiers;
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

    EngineClient engines() {
        return mEngines;
    }

    RunningRequests running() {
        return mRunning;
    }

    AttemptIdentifiers identifiers() {
        return mIdentifiers;
    }
}
