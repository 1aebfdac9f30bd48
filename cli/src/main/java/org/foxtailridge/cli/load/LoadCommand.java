package org.foxtailridge.cli.load;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.cli.platform.OptionException;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;

/** Offers an open-loop load to a running system and prints what was measured. */
@Command(
        name = "load",
        description = "Offers streamed completions at a given rate, however slow the answers are")
public final class LoadCommand implements OperatorCommand {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    @AirlineModule private CommonOptions mCommon = new CommonOptions();

    @Required
    @Option(name = "--callers", title = "ADDRESS", description = "Node for callers; repeatable")
    private List<String> mCallers = new ArrayList<>();

    @Required
    @Option(
            name = "--account",
            title = "NAME=KEY[,SHARE]",
            description = "Client account with its key and share of requests; repeatable")
    private List<String> mAccounts = new ArrayList<>();

    @Option(name = "--model", title = "NAME", description = "Model; repeatable (default scribe)")
    private List<String> mModels = new ArrayList<>();

    @Option(
            name = "--class",
            title = "CLASS[,SHARE]",
            description =
                    "interactive, must_complete or due_by with its share; repeatable "
                            + "(default interactive)")
    private List<String> mClasses = new ArrayList<>();

    @Option(name = "--rate", title = "N", description = "Requests a second (default 10)")
    private double mRate = 10;

    @Option(name = "--seconds", title = "N", description = "Length of the load (default 10)")
    private double mSeconds = 10;

    @Option(
            name = "--burst-factor",
            title = "N",
            description = "Factor on the rate inside bursts (default 1)")
    private double mBurstFactor = 1;

    @Option(
            name = "--burst-period-seconds",
            title = "N",
            description = "Time between beginnings of bursts (default 10)")
    private double mBurstPeriodSeconds = 10;

    @Option(name = "--burst-seconds", title = "N", description = "Length of a burst (default 1)")
    private double mBurstSeconds = 1;

    @Option(name = "--max-tokens", title = "N", description = "Tokens of answers (default 32)")
    private int mMaximumTokens = 32;

    @Option(
            name = "--prompt-characters",
            title = "N",
            description = "Length of prompts (default 200)")
    private int mPromptCharacters = 200;

    @Option(
            name = "--max-in-flight",
            title = "N",
            description =
                    "Requests that run at once; others are counted as not sent (default 2048)")
    private int mMaximumInFlight = 2_048;

    @Option(name = "--seed", title = "N", description = "Seed of arrivals and mixes (default 1)")
    private long mSeed = 1;

    @Option(name = "--plot", title = "FILE", description = "Writes latencies as a PNG file")
    private String mPlot;

    @Override
    public ExitCode run(Terminal terminal) {
        LoadReport report = new LoadRun(plan(), terminal).run();
        LoadReport.Result result = report.result();
        mCommon.output().print(terminal, result, result::toText);
        if (mPlot != null) {
            LatencyPlot.write(report, mPlot);
        }
        return ExitCode.OK;
    }

    private LoadPlan plan() {
        requirePositive("--rate", mRate);
        requirePositive("--seconds", mSeconds);
        requirePositive("--burst-factor", mBurstFactor);
        requirePositive("--max-tokens", mMaximumTokens);
        requirePositive("--max-in-flight", mMaximumInFlight);
        return new LoadPlan(
                mSeed,
                mRate,
                mBurstFactor,
                seconds(mBurstPeriodSeconds),
                seconds(mBurstSeconds),
                seconds(mSeconds),
                List.copyOf(mCallers),
                mAccounts.stream().map(Weighted::parse).toList(),
                mModels.isEmpty() ? List.of("scribe") : List.copyOf(mModels),
                classes(),
                mMaximumTokens,
                mPromptCharacters,
                mMaximumInFlight);
    }

    private List<Weighted> classes() {
        List<String> classes = mClasses.isEmpty() ? List.of("interactive") : mClasses;
        return classes.stream().map(Weighted::parseName).toList();
    }

    private static void requirePositive(String option, double value) {
        if (!(value > 0)) {
            throw new OptionException(option + " above 0", Double.toString(value));
        }
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis((long) (seconds * MILLISECONDS_PER_SECOND));
    }
}
