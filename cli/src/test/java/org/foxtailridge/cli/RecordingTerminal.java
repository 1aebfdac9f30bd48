package org.foxtailridge.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.core.time.ManualClock;

/** Keeps what commands print; pauses advance its clock. */
final class RecordingTerminal implements Terminal {
    private final ManualClock mClock = ManualClock.atEpoch();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private Runnable mOnPause = () -> {};

    void onPause(Runnable action) {
        mOnPause = action;
    }

    String printed() {
        String text = mOut.toString(StandardCharsets.UTF_8);
        mOut.reset();
        return text;
    }

    String messages() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    @Override
    public PrintStream out() {
        return new PrintStream(mOut, true, StandardCharsets.UTF_8);
    }

    @Override
    public PrintStream err() {
        return new PrintStream(mErr, true, StandardCharsets.UTF_8);
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
        mOnPause.run();
    }

    @Override
    public void awaitStop(AutoCloseable running) {
        try {
            running.close();
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }
}
