package org.foxtailridge.clients.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectReader;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.foxtailridge.core.json.Json;

/**
 * Reads a stream of tokens from an HTTP response, one token for each demand.
 *
 * <p>Bytes are read from the connection only while a token is demanded and none is left over, so
 * that a slow caller slows the engine's connection instead of filling memory.
 */
final class HttpCompletionStream implements CompletionStream {
    private static final ObjectReader TOKENS = Json.mapper().readerFor(CompletionToken.class);
    private static final int MAXIMUM_REFUSAL_BYTES = 64 * 1024;
    private static final int OK = 200;

    private final Request mRequest;
    private final CompletionListener mListener;
    private final ServerSentEventParser mParser = new ServerSentEventParser();
    private final Queue<ServerSentEvent> mEvents = new ArrayDeque<>();
    private final AtomicInteger mDemanded = new AtomicInteger(1);
    private final AtomicInteger mPending = new AtomicInteger();
    private final AtomicBoolean mBegun = new AtomicBoolean();
    private final StringBuilder mRefusal = new StringBuilder();
    private volatile Content.Source mSource;
    private volatile Throwable mFailure;
    private volatile int mStatus;
    private volatile boolean mAwaitingContent;
    private boolean mEnded;

    HttpCompletionStream(Request request, CompletionListener listener) {
        mRequest = request;
        mListener = listener;
    }

    void send() {
        mRequest.onRequestBegin(begun -> mBegun.set(true));
        mRequest.onResponseContentSource(this::onContent);
        mRequest.send(this::onComplete);
    }

    @Override
    public void demand() {
        mDemanded.incrementAndGet();
        pump();
    }

    @Override
    public void abort() {
        mRequest.abort(new IllegalStateException("the caller gave up the stream"));
    }

    private void onContent(Response response, Content.Source source) {
        mStatus = response.getStatus();
        mSource = source;
        pump();
    }

    private void onComplete(Result result) {
        if (result.getResponse() != null && mStatus == 0) {
            mStatus = result.getResponse().getStatus();
        }
        if (result.isFailed()) {
            mFailure = result.getFailure();
        } else if (mSource == null) {
            mSource = new EndedSource();
        }
        pump();
    }

    private void onContentAvailable() {
        mAwaitingContent = false;
        pump();
    }

    /** Runs the read loop on one thread at a time. */
    private void pump() {
        if (mPending.getAndIncrement() != 0) {
            return;
        }
        int handled = 1;
        do {
            advance();
            handled = mPending.addAndGet(-handled);
        } while (handled != 0);
    }

    private void advance() {
        try {
            while (canAdvance()) {
                if (!mEnded && !mEvents.isEmpty()) {
                    deliver(mEvents.poll());
                } else if (!readChunk()) {
                    return;
                }
            }
            if (mFailure != null) {
                endBroken(mFailure);
            }
        } catch (RuntimeException | JsonProcessingException failure) {
            endBroken(failure);
            mRequest.abort(failure);
        }
    }

    /** Once the stream has ended, the rest is read so that the connection can be used again. */
    private boolean canAdvance() {
        if (mSource == null || mFailure != null) {
            return false;
        }
        return mEnded || mStatus != OK || mDemanded.get() > 0;
    }

    /** Returns whether reading may go on at once. */
    private boolean readChunk() {
        if (mAwaitingContent) {
            return false;
        }
        Content.Chunk chunk = mSource.read();
        if (chunk == null) {
            mAwaitingContent = true;
            mSource.demand(this::onContentAvailable);
            return false;
        }
        if (Content.Chunk.isFailure(chunk)) {
            mSource = null;
            endBroken(chunk.getFailure());
            return false;
        }
        boolean last = chunk.isLast();
        consume(chunk);
        chunk.release();
        if (!last) {
            return true;
        }
        mSource = new EndedSource();
        if (mEvents.isEmpty()) {
            mSource = null;
            endAtLastChunk();
            return false;
        }
        return true;
    }

    private void consume(Content.Chunk chunk) {
        if (mEnded || !chunk.hasRemaining()) {
            return;
        }
        if (mStatus == OK) {
            mEvents.addAll(mParser.parse(chunk.getByteBuffer()));
        } else if (mRefusal.length() < MAXIMUM_REFUSAL_BYTES) {
            mRefusal.append(BufferUtil.toUTF8String(chunk.getByteBuffer()));
        }
    }

    private void deliver(ServerSentEvent event) throws JsonProcessingException {
        if (event.isDone()) {
            mEnded = true;
            mEvents.clear();
            mListener.onDone();
            return;
        }
        mDemanded.decrementAndGet();
        mListener.onToken(this, TOKENS.readValue(event.data()));
    }

    private void endAtLastChunk() {
        if (mStatus == OK) {
            endBroken(new IllegalStateException("the stream had no end mark"));
        } else if (!mEnded) {
            mEnded = true;
            refuse(mRefusal.toString());
        }
    }

    private void endBroken(Throwable cause) {
        if (!mEnded) {
            mEnded = true;
            mListener.onBroken(mBegun.get(), cause);
        }
    }

    private void refuse(String body) {
        EngineRefusal refusal = EngineRefusal.parse(body);
        mListener.onRefused(mStatus, refusal.reason(), refusal.notStarted());
    }

    /** Stands in for a source of which the last chunk has been read. */
    private static final class EndedSource implements Content.Source {
        @Override
        public Content.Chunk read() {
            return Content.Chunk.EOF;
        }

        @Override
        public void demand(Runnable demandCallback) {
            demandCallback.run();
        }

        @Override
        public void fail(Throwable failure) {}
    }
}
