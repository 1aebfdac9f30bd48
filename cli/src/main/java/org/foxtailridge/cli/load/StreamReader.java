package org.foxtailridge.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.core.json.Json;

/** Reads a streamed answer and notes when its tokens came. Used by one thread at a time. */
final class StreamReader {
    private static final String DATA = "data: ";
    private static final String END = "[DONE]";
    private static final int LARGEST_LINE_BYTES = 1 << 20;

    private final Clock mClock;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final List<Duration> mGaps = new ArrayList<>();
    private Instant mFirst;
    private Instant mLast;
    private boolean mFinished;
    private boolean mEnded;
    private String mErrorKind;

    StreamReader(Clock clock) {
        mClock = clock;
    }

    /** Takes a part of the answer. */
    void accept(ByteBuffer part) {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n') {
                line(mLine.toString(StandardCharsets.UTF_8).strip());
                mLine.reset();
            } else if (mLine.size() < LARGEST_LINE_BYTES) {
                mLine.write(next);
            }
        }
    }

    /** Takes the end of an answer that is no stream, for example a refusal. */
    void end() {
        String rest = mLine.toString(StandardCharsets.UTF_8).strip();
        if (rest.startsWith("{")) {
            data(rest);
        }
    }

    /** Returns whether the answer had its last token and its end. */
    boolean isWhole() {
        return mFinished && mEnded && mErrorKind == null;
    }

    /** Returns the kind of the error that the answer reports; null for none. */
    String errorKind() {
        return mErrorKind;
    }

    /** Returns when the first token came; null when none did. */
    Instant first() {
        return mFirst;
    }

    /** Returns the times between tokens. */
    List<Duration> gaps() {
        return mGaps;
    }

    private void line(String line) {
        if (!line.startsWith(DATA)) {
            return;
        }
        String data = line.substring(DATA.length());
        if (data.equals(END)) {
            mEnded = true;
        } else {
            data(data);
        }
    }

    private void data(String text) {
        JsonNode event;
        try {
            event = Json.read(text, JsonNode.class);
        } catch (UncheckedIOException unreadable) {
            mErrorKind = "unreadable";
            return;
        }
        if (event.has("error")) {
            mErrorKind = event.path("error").path("kind").asText("unknown");
            return;
        }
        Instant now = mClock.instant();
        if (mFirst == null) {
            mFirst = now;
        } else {
            mGaps.add(Duration.between(mLast, now));
        }
        mLast = now;
        mFinished |= event.path("choices").path(0).path("finish_reason").isTextual();
    }
}
