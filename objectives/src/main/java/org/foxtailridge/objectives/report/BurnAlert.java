package org.foxtailridge.objectives.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.function.ToDoubleFunction;

/** How urgent a burn is: a long and a short window must both burn, so that old burns end it. */
public enum BurnAlert {
    /** The budget lasts for its window. */
    @JsonProperty("none")
    NONE,
    /** The budget will be used up before its window ends; look at it on the same day. */
    @JsonProperty("ticket")
    TICKET,
    /** The budget will be used up within days; act now. */
    @JsonProperty("page")
    PAGE;

    private static final double FAST_BURN = 14.4;
    private static final double MEDIUM_BURN = 6;
    private static final double SLOW_BURN = 1;

    static BurnAlert of(ToDoubleFunction<BurnWindow> rate) {
        if (burns(rate, BurnWindow.HOUR, BurnWindow.FIVE_MINUTES, FAST_BURN)
                || burns(rate, BurnWindow.SIX_HOURS, BurnWindow.HALF_HOUR, MEDIUM_BURN)) {
            return PAGE;
        }
        return burns(rate, BurnWindow.THREE_DAYS, BurnWindow.SIX_HOURS, SLOW_BURN) ? TICKET : NONE;
    }

    private static boolean burns(
            ToDoubleFunction<BurnWindow> rate, BurnWindow slow, BurnWindow fast, double above) {
        return rate.applyAsDouble(slow) > above && rate.applyAsDouble(fast) > above;
    }
}
