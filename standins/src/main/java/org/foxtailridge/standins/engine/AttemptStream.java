package org.foxtailridge.standins.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.Json;
import org.foxtailridge.standins.time.EventLoop;

/**
 * Sends the tokens of an attempt as server-sent events.
 *
 * <p>One write is outstanding at a time; while the caller does not take it, the attempt stops
 * growing. Used by one thread.
 */
final class AttemptStream implements Attempt.Listener {
    /** Hears of the stream's progress. */
    interface Observer {
        /** Called when the caller has taken tokens. */
        void onTaken(Attempt attempt);

        /** Called when the stream has broken before its end. */
        void onBroken(Attempt attempt, AttemptStream stream);
    }

    private static final int TOKENS_PER_WRITE = 64;
    private static final byte[] END = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final Exchange mExchange;
    private final Attempt mAttempt;
    private final EventLoop mLoop;
    private final AnswerFaults mFaults;
    private final Observer mObserver;
    private int mNext;
    private boolean mWriting;
    private boolean mEnded;

    AttemptStream(
            Exchange exchange,
            Attempt attempt,
            int from,
            EventLoop loop,
            AnswerFaults faults,
            Observer observer) {
        mExchange = exchange;
        mAttempt = attempt;
        mNext = from;
        mLoop = loop;
        mFaults = faults;
        mObserver = observer;
    }

    /** Begins the answer and sends what is there. */
    void begin() {
        mExchange.beginStream("text/event-stream");
        onProgress();
    }

    @Override
    public void onProgress() {
        if (mWriting || mEnded) {
            return;
        }
        int whole = Math.min(mAttempt.produced(), mFaults.firstMissing());
        int end = Math.min(whole, mNext + TOKENS_PER_WRITE);
        if (mNext < end) {
            write(end);
        } else if (mAttempt.produced() >= mFaults.firstMissing()) {
            breakOff();
        } else if (mAttempt.state() == Attempt.State.FINISHED) {
            mEnded = true;
            mExchange.write(END, true, Callback.NOOP);
        } else if (!mAttempt.state().isActive()) {
            stop();
        }
    }

    /** Closes the connection. */
    void stop() {
        mEnded = true;
        mExchange.cut();
    }

    private void write(int end) {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        for (int index = mNext; index < end; index++) {
            frames.writeBytes(frame(index));
        }
        mWriting = true;
        mExchange.write(
                frames.toByteArray(),
                false,
                Callback.from(
                        () -> mLoop.execute(() -> onWritten(end)),
                        failure -> mLoop.execute(this::onFailed)));
    }

    private void onWritten(int next) {
        mWriting = false;
        mNext = next;
        mAttempt.delivered(next);
        mObserver.onTaken(mAttempt);
        onProgress();
    }

    private void onFailed() {
        mWriting = false;
        mEnded = true;
        mExchange.cut();
        mObserver.onBroken(mAttempt, this);
    }

    private void breakOff() {
        mEnded = true;
        mObserver.onBroken(mAttempt, this);
        if (!mFaults.endsInHalfFrame()) {
            mExchange.cut();
            return;
        }
        byte[] whole = frame(mNext);
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        mExchange.write(half, false, Callback.from(mExchange::cut));
    }

    private byte[] frame(int index) {
        CompletionAnswer answer = mFaults.apply(mAttempt.tokenAnswer(index));
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        frame.writeBytes(("id: " + index + "\ndata: ").getBytes(StandardCharsets.UTF_8));
        frame.writeBytes(Json.write(answer));
        frame.writeBytes("\n\n".getBytes(StandardCharsets.UTF_8));
        return frame.toByteArray();
    }
}
