package org.foxtailridge.node.caller;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Answers requests that the HTTP library itself refuses with a body of the error table. */
final class BadRequestHandler extends ErrorHandler {
    private static final int HEAD_TOO_LARGE = 431;
    private static final int CLIENT_ERRORS_END = 500;

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        FoxtailridgeException failure = failureOf(response.getStatus());
        response.setStatus(failure.answer().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(ErrorBody.of(failure)), callback);
        return true;
    }

    @Override
    public ByteBuffer badMessageError(
            int status, String reason, org.eclipse.jetty.http.HttpFields.Mutable fields) {
        fields.put(HttpHeader.CONTENT_TYPE, "application/json");
        return ByteBuffer.wrap(ErrorBody.of(failureOf(status)));
    }

    private static FoxtailridgeException failureOf(int status) {
        if (status == HEAD_TOO_LARGE) {
            return RefusedException.of(
                    ErrorKind.HEAD_TOO_LARGE, "the head of the request is larger than the limit");
        }
        if (status < CLIENT_ERRORS_END) {
            return RefusedException.of(
                    ErrorKind.MALFORMED_REQUEST, "the request is not well-formed HTTP");
        }
        return new FoxtailridgeException(ErrorKind.INTERNAL, "the request could not be served");
    }
}
