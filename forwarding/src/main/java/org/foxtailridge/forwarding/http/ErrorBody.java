package org.foxtailridge.forwarding.http;

import java.util.Locale;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;
import org.foxtailridge.core.json.Json;

/** The body of a failure of this node. */
public final class ErrorBody {
    private ErrorBody() {}

    /** Returns the body of a failure in JSON. */
    public static byte[] of(ErrorKind kind, String message) {
        String ran = ErrorTable.answerTo(kind).executionStarted().name().toLowerCase(Locale.ROOT);
        return Json.writeBytes(new Body(new Failure(kind.wireName(), message, ran)));
    }

    private record Body(Failure error) {}

    private record Failure(String kind, String message, String ran) {}
}
