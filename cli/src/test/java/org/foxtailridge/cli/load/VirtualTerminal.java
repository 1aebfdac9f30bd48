package org.foxtailridge.cli.load;

import java.io.PrintStream;
import java.time.Clock;
import java.time.Duration;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.core.time.ManualClock;

/** A terminal whose pauses take no real time. */
final class VirtualTerminal implements Terminal {
    private final ManualClock mClock = ManualClock.atEpoch();

    @Override
    public PrintStream out() {
        return System.out;
    }

    @Override
    public PrintStream err() {
        return System.err;
    }

    @Override
    public Clock clock() {
        return mClock;
    }

    @Override
    public boolean showsProgress() {
        return false;
    }

    @Override
    public void pause(Duration duration) {
        mClock.advance(duration);
    }

    @Override
    public void awaitStop(AutoCloseable running) {
        throw new IllegalStateException("a load does not wait");
    }
}
