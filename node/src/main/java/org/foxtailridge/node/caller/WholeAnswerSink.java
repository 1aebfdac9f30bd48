package org.foxtailridge.node.caller;

import org.eclipse.jetty.util.Callback;
import org.foxtailridge.clients.engine.CompletionToken;
import org.foxtailridge.clients.engine.Usage;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.json.Json;

/** Gathers the tokens and writes them as one body once the answer is whole. */
final class WholeAnswerSink implements AnswerSink {
    private static final int OK = 200;

    private final CallerExchange mExchange;
    private final AnswerHead mHead;
    private final StringBuilder mText = new StringBuilder();
    private String mFinishReason;

    WholeAnswerSink(CallerExchange exchange, AnswerHead head) {
        mExchange = exchange;
        mHead = head;
    }

    @Override
    public void token(CompletionToken token, Callback written) {
        mText.append(token.text());
        mFinishReason = token.finishReason();
        written.succeeded();
    }

    @Override
    public void finish(Usage usage) {
        CompletionBodies.Choice choice =
                CompletionBodies.wholeChoice(mHead.shape(), mText.toString(), mFinishReason);
        mExchange.answer(OK, Json.writeBytes(mHead.whole(choice, usage)));
    }

    @Override
    public void fail(FoxtailridgeException failure) {
        mExchange.fail(failure);
    }
}
