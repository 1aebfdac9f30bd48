package org.foxtailridge.bench.limits;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Counts requests that were refused although they were inside the rate, against the exact bucket on
 * the same demand.
 *
 * <p>For each client account and minute: when the exact bucket refused nothing, each refusal
 * counts; else the tokens that the exact bucket admitted beyond the policy, as a number of mean
 * requests.
 */
final class RefusalCount {
    private static final long SLICE_MILLISECONDS = 60_000;

    private final List<LimitedRequest> mRequests;
    private final LimitsRun mExact;

    RefusalCount(List<LimitedRequest> requests, LimitsRun exact) {
        mRequests = requests;
        mExact = exact;
    }

    /** Returns the share of the requests that the exact bucket admitted. */
    double share(LimitsRun run, Predicate<LimitedRequest> counted) {
        Map<String, Slice> slices = new TreeMap<>();
        for (int index = 0; index < mRequests.size(); index++) {
            LimitedRequest request = mRequests.get(index);
            boolean warm = request.atMilliseconds() >= DemandScenario.WARM_UP_MILLISECONDS;
            if (warm && counted.test(request)) {
                String key =
                        request.account() + "/" + request.atMilliseconds() / SLICE_MILLISECONDS;
                Slice slice = slices.computeIfAbsent(key, name -> new Slice());
                slice.add(request, mExact.admitted().get(index), run.admitted().get(index));
            }
        }
        double refused = slices.values().stream().mapToDouble(Slice::refused).sum();
        long exact = slices.values().stream().mapToLong(slice -> slice.mExactRequests).sum();
        return exact == 0 ? 0 : refused / exact;
    }

    private static final class Slice {
        private long mExactRequests;
        private long mExactTokens;
        private long mTokens;
        private long mRefusedByPolicy;
        private boolean mExactRefused;

        private void add(LimitedRequest request, boolean exact, boolean policy) {
            mExactRefused |= !exact;
            mExactRequests += exact ? 1 : 0;
            mExactTokens += exact ? request.usedTokens() : 0;
            mTokens += policy ? request.usedTokens() : 0;
            mRefusedByPolicy += policy ? 0 : 1;
        }

        private double refused() {
            if (!mExactRefused) {
                return mRefusedByPolicy;
            }
            long missing = Math.max(0, mExactTokens - mTokens);
            return mExactTokens == 0 ? 0 : (double) missing * mExactRequests / mExactTokens;
        }
    }
}
