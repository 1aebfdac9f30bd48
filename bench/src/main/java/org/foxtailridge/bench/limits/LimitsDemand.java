package org.foxtailridge.bench.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws the requests of a scenario; the same seed gives the same requests. */
final class LimitsDemand {
    private static final double MEAN_USED_TOKENS = 375;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final long SHIFT_MILLISECONDS = 10_000;
    private static final long MILLISECONDS_PER_TOKEN = 30;

    private final DemandScenario mScenario;
    private final UniformRandomProvider mRandom;

    LimitsDemand(DemandScenario scenario, long seed) {
        mScenario = scenario;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    List<LimitedRequest> requests() {
        List<LimitedRequest> requests = new ArrayList<>();
        for (int account = 0; account < mScenario.accounts().size(); account++) {
            addRequests(account, requests);
        }
        requests.sort(Comparator.comparingLong(LimitedRequest::atMilliseconds));
        return requests;
    }

    private void addRequests(int account, List<LimitedRequest> requests) {
        LimitedAccount limited = mScenario.accounts().get(account);
        double perSecond = limited.limit().rateTokensPerSecond() * limited.load();
        double gap = MILLISECONDS_PER_SECOND * MEAN_USED_TOKENS / perSecond;
        double time = 0;
        while (time < DemandScenario.END_MILLISECONDS) {
            time += -Math.log(1 - mRandom.nextDouble()) * gap;
            requests.add(request(account, (long) time));
        }
    }

    private LimitedRequest request(int account, long at) {
        long prompt = 20 + mRandom.nextInt(380);
        long maximum = 50 + mRandom.nextInt(450);
        long output = Math.round(maximum * (0.2 + 0.8 * mRandom.nextDouble()));
        int node = nodeOf(account, at);
        long duration = output * MILLISECONDS_PER_TOKEN;
        return new LimitedRequest(at, account, node, prompt + maximum, prompt + output, duration);
    }

    private int nodeOf(int account, long at) {
        int any = mRandom.nextInt(mScenario.nodes());
        return switch (mScenario.callers()) {
            case EVEN -> any;
            case ONE_NODE -> account * 2 % mScenario.nodes();
            case SHIFTING ->
                    (int) ((account * 2 + at / SHIFT_MILLISECONDS * 4) % mScenario.nodes());
        };
    }
}
