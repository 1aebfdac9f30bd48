package org.foxtailridge.forwarding.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.OptionalLong;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;
import org.foxtailridge.core.json.Json;

/** Body and headers of an error answer that this node itself gives. */
public final class ErrorBody {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private ErrorBody() {}

    /** Returns the body as JSON in UTF-8; {@code ran} says whether the request may have run. */
    public static byte[] of(ErrorKind kind, String message) {
        String ran = ErrorTable.answerTo(kind).executionStarted().name().toLowerCase(Locale.ROOT);
        return Json.writeBytes(new Body(new Failure(kind.wireName(), message, ran)));
    }

    /**
     * Returns the headers that describe the body.
     *
     * @param retryAfterMilliseconds time after which the caller may retry; empty if not stated
     */
    public static HttpHeaders headers(OptionalLong retryAfterMilliseconds) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        retryAfterMilliseconds.ifPresent(
                milliseconds ->
                        headers.set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(
                                        Locale.ROOT,
                                        "%.3f",
                                        milliseconds / MILLISECONDS_PER_SECOND)));
        return headers;
    }

    private record Body(Failure error) {}

    private record Failure(String kind, String message, String ran) {}
}
