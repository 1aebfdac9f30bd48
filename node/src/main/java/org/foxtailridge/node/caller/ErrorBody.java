package org.foxtailridge.node.caller;

import org.foxtailridge.core.error.ErrorAnswer;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.json.Json;

/** Body of a refusal or failure: {@code {"error":{"kind":…,"message":…,"ran":…}}}. */
record ErrorBody(Detail error) {
    /**
     * What went wrong.
     *
     * @param kind word of the error kind
     * @param message text for the caller
     * @param ran whether an endpoint began to execute the request
     */
    record Detail(String kind, String message, String ran) {}

    static byte[] of(FoxtailridgeException failure) {
        ErrorAnswer answer = failure.answer();
        Detail detail =
                new Detail(
                        failure.kind().wireName(),
                        failure.getMessage(),
                        answer.executionStarted().wireName());
        return Json.writeBytes(new ErrorBody(detail));
    }
}
