package org.foxtailridge.node.caller;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.error.LogLevel;
import org.foxtailridge.node.metrics.NodeMetrics;

/** Logs and counts how requests end; holds no key and no prompt. */
@Singleton
final class RequestLog {
    private static final Logger LOGGER = LogManager.getLogger(RequestLog.class);
    private static final String SUCCESS = "ok";

    private final NodeMetrics mMetrics;

    @Inject
    RequestLog(NodeMetrics metrics) {
        mMetrics = metrics;
    }

    /** Notes a request that was answered whole. */
    void answered(String sort, String clientAccount) {
        mMetrics.requestEnded(sort, clientAccount, SUCCESS);
    }

    /** Notes a request that was refused or failed. */
    void failed(
            String sort,
            String requestId,
            String clientAccount,
            String endpoint,
            FoxtailridgeException failure) {
        String kind = failure.kind().wireName();
        mMetrics.requestEnded(sort, clientAccount, kind);
        try (CloseableThreadContext.Instance context =
                CloseableThreadContext.put("request", requestId)
                        .put("client_account", clientAccount)
                        .put("endpoint", endpoint)
                        .put("error_kind", kind)) {
            LOGGER.log(levelOf(failure.answer().level()), failure.getMessage());
        }
    }

    private static Level levelOf(LogLevel level) {
        return switch (level) {
            case DEBUG -> Level.DEBUG;
            case INFO -> Level.INFO;
            case WARN -> Level.WARN;
            case ERROR -> Level.ERROR;
        };
    }
}
