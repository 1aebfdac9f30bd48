package org.foxtailridge.standins.engine;

import java.util.Arrays;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.Json;

/** Sends the answer of an attempt as one object once it has finished. Used by one thread. */
final class WholeAnswer implements Attempt.Listener {
    private final Exchange mExchange;
    private final Attempt mAttempt;
    private final AnswerFaults mFaults;

    WholeAnswer(Exchange exchange, Attempt attempt, AnswerFaults faults) {
        mExchange = exchange;
        mAttempt = attempt;
        mFaults = faults;
    }

    @Override
    public void onProgress() {
        mAttempt.delivered(mAttempt.produced());
        if (mAttempt.produced() >= mFaults.firstMissing()) {
            breakOff();
        } else if (mAttempt.state() == Attempt.State.FINISHED) {
            mExchange.answer(200, mFaults.apply(mAttempt.wholeAnswer()));
        } else if (!mAttempt.state().isActive()) {
            mExchange.cut();
        }
    }

    private void breakOff() {
        if (!mFaults.endsInHalfFrame()) {
            mExchange.cut();
            return;
        }
        byte[] whole = Json.write(mAttempt.tokenAnswer(0));
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        mExchange.answerHeader("Content-Length", Integer.toString(whole.length));
        mExchange.beginStream("application/json");
        mExchange.write(half, false, Callback.from(mExchange::cut));
    }
}
