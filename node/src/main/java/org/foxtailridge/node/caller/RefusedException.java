package org.foxtailridge.node.caller;

import java.time.Duration;
import java.util.OptionalInt;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A request is refused before anything ran. */
public final class RefusedException extends FoxtailridgeException {
    private RefusedException(ErrorKind kind, String message, OptionalInt retryAfterSeconds) {
        super(kind, message, retryAfterSeconds);
    }

    static RefusedException keyRefused() {
        return of(
                ErrorKind.KEY_REFUSED,
                "expected a key in force in Authorization: Bearer but there was none");
    }

    static RefusedException notOnPlan(String plan, String name) {
        return of(ErrorKind.NOT_ON_PLAN, "expected plan " + plan + " to allow " + name);
    }

    static RefusedException unknownModel(String name) {
        return of(ErrorKind.UNKNOWN_MODEL, "expected a listed model but was " + name);
    }

    static RefusedException unknownService(String path) {
        return of(ErrorKind.UNKNOWN_SERVICE, "expected a listed service and route but was " + path);
    }

    static RefusedException unknownPath(String path) {
        return of(ErrorKind.UNKNOWN_PATH, "expected a known path but was " + path);
    }

    static RefusedException methodNotAllowed(String expected, String actual) {
        return of(
                ErrorKind.METHOD_NOT_ALLOWED, "expected method " + expected + " but was " + actual);
    }

    static RefusedException configurationStale(Duration allowed, Duration actual) {
        return of(
                ErrorKind.CONFIGURATION_STALE,
                "expected a configuration confirmed within "
                        + allowed.toSeconds()
                        + " seconds but it was confirmed "
                        + actual.toSeconds()
                        + " seconds ago");
    }

    static RefusedException tooManyConnections(int allowed, int actual) {
        return of(
                ErrorKind.TOO_MANY_CONNECTIONS,
                "expected at most "
                        + allowed
                        + " requests of the client account at a time on this VM but was "
                        + actual);
    }

    static RefusedException stopping() {
        return of(ErrorKind.STOPPING, "this VM is stopping; another one serves");
    }

    static RefusedException notReady() {
        return of(ErrorKind.NOT_READY, "this VM has no configuration yet; another one serves");
    }

    /** Returns a refusal because a ring or queue is full. */
    public static RefusedException overloaded(String what) {
        return of(ErrorKind.OVERLOADED, "expected room in " + what + " but it is full");
    }

    /** Returns a refusal of the given kind with its own time to wait. */
    public static RefusedException withRetryAfter(
            ErrorKind kind, String message, int retryAfterSeconds) {
        return new RefusedException(kind, message, OptionalInt.of(retryAfterSeconds));
    }

    /** Returns a refusal of the given kind. */
    public static RefusedException of(ErrorKind kind, String message) {
        return new RefusedException(kind, message, OptionalInt.empty());
    }
}
