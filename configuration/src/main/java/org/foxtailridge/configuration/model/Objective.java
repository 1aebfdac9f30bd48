package org.foxtailridge.configuration.model;

import java.util.Objects;

/**
 * A service-level objective: the share of events that must be good over the window.
 *
 * @param name name of the objective
 * @param route model or service that it covers; {@code *} stands for all
 * @param clientAccount client account that it covers; {@code *} stands for each one on its own
 * @param measure what is measured
 * @param thresholdMilliseconds largest good value, in milliseconds; 0 for availability
 * @param target share of good events, above 0 and below 1
 * @param windowSeconds length of the window, in seconds
 */
public record Objective(
        String name,
        String route,
        String clientAccount,
        Measure measure,
        long thresholdMilliseconds,
        double target,
        long windowSeconds)
        implements ConfigurationEntry {
    /** Checks that no part is missing. */
    public Objective {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(clientAccount, "clientAccount");
        Objects.requireNonNull(measure, "measure");
    }
}
