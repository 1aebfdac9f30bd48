package org.foxtailridge.node.operator;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.core.json.Json;
import org.foxtailridge.node.duty.ObjectivesDuty;
import org.foxtailridge.node.settings.NodeSettings;

/**
 * Serves {@code /healthz}, {@code /readyz}, {@code /metrics}, {@code /status}, {@code /burn} and
 * {@code /faults}.
 */
@Singleton
final class OperatorHandler extends Handler.Abstract {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final String JSON = "application/json";
    private static final String PROTOBUF = "application/x-protobuf";

    private final NodeSettings mSettings;
    private final StatusReport mStatus;
    private final PrometheusMeterRegistry mMetrics;
    private final FaultSwitches mFaults;
    private final ObjectivesDuty mObjectives;

    @Inject
    OperatorHandler(
            NodeSettings settings,
            StatusReport status,
            PrometheusMeterRegistry metrics,
            FaultSwitches faults,
            ObjectivesDuty objectives) {
        mSettings = settings;
        mStatus = status;
        mMetrics = metrics;
        mFaults = faults;
        mObjectives = objectives;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        switch (Request.getPathInContext(request)) {
            case "/healthz" -> write(response, callback, OK, TEXT, "ok\n");
            case "/readyz" -> writeReadiness(response, callback);
            case "/metrics" -> write(response, callback, OK, PROMETHEUS, mMetrics.scrape());
            case "/status" -> write(response, callback, OK, JSON, Json.write(mStatus.read()));
            case "/burn" -> writeBurn(response, callback);
            case "/faults" -> setFaults(request, response, callback);
            default -> write(response, callback, NOT_FOUND, TEXT, "not found\n");
        }
        return true;
    }

    private void writeReadiness(Response response, Callback callback) {
        boolean ready = mStatus.read().ready();
        write(
                response,
                callback,
                ready ? OK : UNAVAILABLE,
                TEXT,
                ready ? "ready\n" : "not ready\n");
    }

    private void writeBurn(Response response, Callback callback) {
        mObjectives
                .counts()
                .whenComplete(
                        (counts, failure) -> {
                            if (failure == null) {
                                write(response, callback, OK, PROTOBUF, counts.toByteArray());
                            } else {
                                write(response, callback, UNAVAILABLE, TEXT, "no counts\n");
                            }
                        });
    }

    private void setFaults(Request request, Response response, Callback callback) throws Exception {
        if (!mSettings.faultSwitches() || !request.getMethod().equals("POST")) {
            write(response, callback, NOT_FOUND, TEXT, "not found\n");
            return;
        }
        String body = Content.Source.asString(request, StandardCharsets.UTF_8);
        try {
            mFaults.apply(Json.read(body, FaultSwitches.Cut.class));
            write(response, callback, OK, JSON, "{}");
        } catch (UncheckedIOException unreadable) {
            write(response, callback, BAD_REQUEST, TEXT, "not a cut\n");
        }
    }

    private static void write(
            Response response, Callback callback, int status, String type, String body) {
        write(response, callback, status, type, body.getBytes(StandardCharsets.UTF_8));
    }

    private static void write(
            Response response, Callback callback, int status, String type, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
