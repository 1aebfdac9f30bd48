package org.foxtailridge.execution.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/** Credit for retries by name; grows by a share of each first try and falls by each retry. */
final class RetryBudgets {
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final RetrySettings mSettings;
    private final Map<String, Double> mCredits;

    RetryBudgets(RetrySettings settings) {
        mSettings = settings;
        mCredits =
                new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                        return size() > settings.maximumBudgets();
                    }
                };
    }

    void firstTry(String name) {
        double grown = credit(name) + mSettings.budgetShare();
        mCredits.put(name, Math.min(mSettings.maximumCredit(), grown));
    }

    boolean allows(String name) {
        return credit(name) >= 1;
    }

    void spend(String name) {
        mCredits.put(name, credit(name) - 1);
    }

    int size() {
        return mCredits.size();
    }

    private double credit(String name) {
        Double credit = mCredits.get(name);
        return credit == null ? mSettings.allowance() : credit;
    }
}
