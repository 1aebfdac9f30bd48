package org.foxtailridge.objectives.report;

import java.util.List;

/**
 * One objective of one route and client account.
 *
 * @param clientAccount client account
 * @param route model or service
 * @param objective name of the objective
 * @param target share of events that must be good
 * @param windowSeconds length of the objective's window, in seconds
 * @param good good events inside the window
 * @param bad bad events inside the window
 * @param attainment share of good events
 * @param budgetLeft share of the allowed bad events that is left; negative when more were bad
 * @param burnRates burn rates, the shortest window first
 * @param alert how urgent it is
 */
public record BurnRow(
        String clientAccount,
        String route,
        String objective,
        double target,
        long windowSeconds,
        long good,
        long bad,
        double attainment,
        double budgetLeft,
        List<BurnRate> burnRates,
        BurnAlert alert) {
    /** Copies the list. */
    public BurnRow {
        burnRates = List.copyOf(burnRates);
    }

    /**
     * How fast the budget was used up over a window: 1 uses it up exactly in the objective's
     * window.
     *
     * @param window label of the window
     * @param rate burn rate
     */
    public record BurnRate(String window, double rate) {}
}
