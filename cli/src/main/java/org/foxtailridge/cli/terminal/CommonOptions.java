package org.foxtailridge.cli.terminal;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.time.Duration;
import java.util.Locale;

/** Options of every command that prints a result. */
public final class CommonOptions {
    @Option(
            name = "--output",
            title = "FORMAT",
            description = "Form of the result: text or json (default text)")
    @AllowedRawValues(allowedValues = {"text", "json"})
    private String mOutput = "text";

    @Option(
            name = "--timeout-ms",
            title = "MILLISECONDS",
            description = "Time after which one call is given up (default 3000)")
    private long mTimeoutMilliseconds = 3_000;

    /** Returns the form of the result. */
    public OutputFormat output() {
        return OutputFormat.valueOf(mOutput.toUpperCase(Locale.ROOT));
    }

    /** Returns the time after which one call is given up. */
    public Duration timeout() {
        return Duration.ofMillis(mTimeoutMilliseconds);
    }
}
