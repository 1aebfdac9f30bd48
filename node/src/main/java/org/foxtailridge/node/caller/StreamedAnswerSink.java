package org.foxtailridge.node.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.clients.engine.CompletionToken;
import org.foxtailridge.clients.engine.Usage;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.json.Json;

/** Writes each token as a server-sent event; a failure becomes an error event. */
final class StreamedAnswerSink implements AnswerSink {
    private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] ERROR_EVENT = "event: error\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final CallerExchange mExchange;
    private final AnswerHead mHead;
    private volatile boolean mBegun;

    StreamedAnswerSink(CallerExchange exchange, AnswerHead head) {
        mExchange = exchange;
        mHead = head;
    }

    @Override
    public void token(CompletionToken token, Callback written) {
        if (!mBegun) {
            mBegun = true;
            mExchange.beginStream("text/event-stream");
        }
        byte[] body =
                Json.writeBytes(
                        mHead.chunk(
                                CompletionBodies.chunkChoice(mHead.shape(), token), token.usage()));
        mExchange.write(join(DATA, body, EVENT_END), written);
    }

    @Override
    public void finish(Usage usage) {
        mExchange.endStream(DONE);
    }

    @Override
    public void fail(FoxtailridgeException failure) {
        if (mBegun) {
            mExchange.failStream(
                    failure, join(ERROR_EVENT, DATA, ErrorBody.of(failure), EVENT_END));
        } else {
            mExchange.fail(failure);
        }
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }
}
