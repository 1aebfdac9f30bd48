package org.foxtailridge.forwarding.http;

import static io.netty.handler.codec.http.HttpHeaderValues.CHUNKED;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects heads that don't belong to one whole answer: joined from two, as an endpoint broke off
 * inside a head and went on with another one, or with a body that can't be read to its end.
 */
final class AnswerHeads {
    private static final String PROTOCOL = "HTTP";
    private static final String VERSION = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}( |$)");
    private static final int VALID = -1;

    private AnswerHeads() {}

    /** Returns whether no second status line follows the first, inside a line or as a header. */
    static boolean isOfOneAnswer(HttpResponse head) {
        if (!head.protocolVersion().protocolName().equals(PROTOCOL)
                || containsStatusLine(head.status().reasonPhrase())) {
            return false;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            boolean validName = HttpHeaderValidationUtil.validateToken(header.getKey()) == VALID;
            if (!validName || containsStatusLine(header.getValue())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the body has no transfer coding but the chunked one. Requests ask for no
     * other, and a damaged name would make the chunks a part of the body.
     */
    static boolean hasReadableBody(HttpResponse head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || (codings.size() == 1 && CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip()));
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }
}
