package org.foxtailridge.node.duty;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.protocol.placement.DemandReport;
import org.foxtailridge.protocol.placement.ModelDemand;

/** Counts the tokens that requests ask of each model; bounded by the listed models. */
@Singleton
public final class DemandCounter {
    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final PeerIdentity mIdentity;
    private final Map<String, LongAdder> mTokens = new ConcurrentHashMap<>();

    /** Creates a counter that starts from 0. */
    @Inject
    public DemandCounter(PeerIdentity identity) {
        mIdentity = identity;
    }

    /** Counts a request for a listed model. */
    public void requested(String model, long tokens) {
        mTokens.computeIfAbsent(model, name -> new LongAdder()).add(tokens);
    }

    /** Returns the demand since the last report, taken to be the interval ago. */
    DemandReport report(Duration interval) {
        DemandReport.Builder report =
                DemandReport.newBuilder()
                        .setNode(mIdentity.name().value())
                        .setDataCentre(mIdentity.dataCentre().value());
        double seconds = interval.toMillis() / MILLISECONDS_PER_SECOND;
        mTokens.forEach(
                (model, tokens) -> {
                    long sum = tokens.sumThenReset();
                    if (sum > 0) {
                        report.addModels(
                                ModelDemand.newBuilder()
                                        .setModel(model)
                                        .setTokensPerSecond(sum / seconds));
                    }
                });
        return report.build();
    }
}
