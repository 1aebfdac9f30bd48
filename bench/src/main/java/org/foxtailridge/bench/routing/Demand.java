package org.foxtailridge.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.routing.PromptPrefix;

/**
 * Seeded bursty demand.
 *
 * <p>Sessions of a few turns share a system prompt, a document and their history. Accounts switch
 * between calm and bursts; one sends four times its share in the middle third. What passes an
 * account's exact token bucket is the demand, so that all of it is inside the rate.
 */
final class Demand {
    static final long LENGTH_MICROSECONDS = 90_000_000;
    private static final double SECOND_MICROSECONDS = 1e6;
    private static final double MEAN_TOKENS = 1_900;
    private static final double BURST_SECONDS = 4;
    private static final int GREEDY_ACCOUNT = 1;
    private static final double GREEDY_FACTOR = 4;
    private static final double BURST_FACTOR = 3;
    private static final double CALM_FACTOR = 0.4;
    private static final long PHASE_MICROSECONDS = 6_000_000;
    private static final int SYSTEM_TOKENS = 400;
    private static final int DOCUMENT_TOKENS = 1_000;
    private static final int DOCUMENTS = 30;
    private static final int TURN_TOKENS = 80;
    private static final int LARGEST_TURNS = 5;

    private final Deployment mDeployment;
    private final UniformRandomProvider mRandom;
    private final double mRequestsPerSecond;
    private final boolean mGreedy;
    private final List<Journey> mJourneys = new ArrayList<>();
    private int mNextSession;

    private Demand(Deployment deployment, long seed, double requestsPerSecond, boolean greedy) {
        mGreedy = greedy;
        mDeployment = deployment;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mRequestsPerSecond = requestsPerSecond;
    }

    /**
     * Returns the requests in order of arrival.
     *
     * @param requestsPerSecond rate of all accounts together, in requests of mean size
     */
    static List<Journey> of(Deployment deployment, long seed, double requestsPerSecond) {
        return new Demand(deployment, seed, requestsPerSecond, false).generate();
    }

    /**
     * Returns the same requests, and with them all that one account sends beyond its rate.
     *
     * @param requestsPerSecond rate of all accounts together, in requests of mean size
     */
    static List<Journey> withGreedyAccount(
            Deployment deployment, long seed, double requestsPerSecond) {
        return new Demand(deployment, seed, requestsPerSecond, true).generate();
    }

    static boolean isGreedy(Journey journey) {
        return journey.account() == GREEDY_ACCOUNT;
    }

    private List<Journey> generate() {
        for (int account = 0; account < mDeployment.shares().size(); account++) {
            generate(account);
        }
        mJourneys.sort(Comparator.comparingLong(Journey::arrival));
        return withinRate();
    }

    private void generate(int account) {
        double rate = mRequestsPerSecond * mDeployment.shares().get(account);
        for (long phase = 0; phase < LENGTH_MICROSECONDS; phase += PHASE_MICROSECONDS) {
            boolean middle = phase / (LENGTH_MICROSECONDS / 3) == 1;
            double factor = mRandom.nextInt(3) == 0 ? BURST_FACTOR : CALM_FACTOR;
            if (account == GREEDY_ACCOUNT && middle) {
                factor = GREEDY_FACTOR;
            }
            double sessions = rate * factor * PHASE_MICROSECONDS / SECOND_MICROSECONDS / 3;
            for (int session = 0; session < Math.round(sessions); session++) {
                session(account, phase + mRandom.nextLong(PHASE_MICROSECONDS));
            }
        }
    }

    private void session(int account, long start) {
        int kind = mRandom.nextInt(20);
        if (kind == 0) {
            add(account, start, WorkClass.MUST_COMPLETE, prefixes(account, popular(), 0), 3_600);
            return;
        }
        if (kind <= 2) {
            add(account, start, WorkClass.DUE_BY, prefixes(account, popular(), 0), 1_000);
            return;
        }
        List<PromptPrefix> prefixes = prefixes(account, popular(), popular());
        int turns = 1 + mRandom.nextInt(LARGEST_TURNS);
        String session = "session-" + mNextSession++;
        long when = start;
        for (int turn = 0; turn < turns && when < LENGTH_MICROSECONDS; turn++) {
            int known = prefixes.get(prefixes.size() - 1).tokens() + TURN_TOKENS;
            prefixes = new ArrayList<>(prefixes);
            prefixes.add(new PromptPrefix(modelOf(prefixes) + "/" + session + "/" + turn, known));
            add(account, when, WorkClass.INTERACTIVE, prefixes, 0);
            when += 2_000_000 + mRandom.nextLong(5_000_000);
        }
    }

    /** Returns a small number more often than a large one. */
    private double popular() {
        double uniform = mRandom.nextDouble();
        return uniform * uniform;
    }

    private List<PromptPrefix> prefixes(int account, double model, double document) {
        String system = "model-" + (int) (model * mDeployment.models()) + "/" + account;
        String full = system + "/" + (int) (document * DOCUMENTS);
        return List.of(
                new PromptPrefix(system, SYSTEM_TOKENS),
                new PromptPrefix(full, SYSTEM_TOKENS + DOCUMENT_TOKENS));
    }

    private static String modelOf(List<PromptPrefix> prefixes) {
        String system = prefixes.get(0).hash();
        return system.substring(0, system.indexOf('/'));
    }

    private void add(
            int account, long when, WorkClass workClass, List<PromptPrefix> prefixes, int tail) {
        String model = modelOf(prefixes);
        int modelNumber = Integer.parseInt(model.substring("model-".length()));
        int perModel = mDeployment.adapters() / mDeployment.models();
        Optional<String> adapter =
                mRandom.nextInt(3) == 0
                        ? Optional.empty()
                        : Optional.of("adapter-" + modelNumber + "-" + mRandom.nextInt(perModel));
        int maximum = workClass == WorkClass.INTERACTIVE ? 160 : 320;
        int answer = maximum / 4 + mRandom.nextInt(maximum / 2);
        int prompt = prefixes.get(prefixes.size() - 1).tokens() + tail;
        mJourneys.add(
                new Journey(
                        mJourneys.size(),
                        when,
                        account,
                        model,
                        adapter,
                        workClass,
                        prefixes,
                        prompt,
                        answer,
                        maximum));
    }

    private List<Journey> withinRate() {
        int accounts = mDeployment.shares().size();
        double[] level = new double[accounts];
        long[] updated = new long[accounts];
        for (int account = 0; account < accounts; account++) {
            level[account] = tokensPerSecond(account) * BURST_SECONDS;
        }
        List<Journey> passed = new ArrayList<>();
        for (Journey journey : mJourneys) {
            int account = journey.account();
            double elapsed = (journey.arrival() - updated[account]) / SECOND_MICROSECONDS;
            double filled = level[account] + elapsed * tokensPerSecond(account);
            level[account] = Math.min(tokensPerSecond(account) * BURST_SECONDS, filled);
            updated[account] = journey.arrival();
            int tokens = journey.promptTokens() + journey.answerTokens();
            if (mGreedy && isGreedy(journey)) {
                passed.add(journey);
            } else if (tokens <= level[account]) {
                level[account] -= tokens;
                passed.add(journey);
            }
        }
        return passed;
    }

    private double tokensPerSecond(int account) {
        return mRequestsPerSecond * mDeployment.shares().get(account) * MEAN_TOKENS;
    }
}
