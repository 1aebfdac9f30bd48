package org.foxtailridge.forwarding.node;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.http.CallerHandler;

/**
 * HTTP handler of the operators' port: {@code /ready} answers the platform's readiness probe with
 * 200 or 503, {@code /metrics} returns the metrics in the text format of Prometheus.
 */
final class OperatorRequestHandler implements CallerHandler {
    private static final String READY = "/ready";
    private static final String METRICS = "/metrics";

    private final BooleanSupplier mReady;
    private final PrometheusMeterRegistry mMeters;

    OperatorRequestHandler(BooleanSupplier ready, PrometheusMeterRegistry meters) {
        mReady = ready;
        mMeters = meters;
    }

    @Override
    public void handle(CallerExchange exchange) {
        String path = exchange.head().uri();
        if (path.startsWith(READY)) {
            answer(exchange, mReady.getAsBoolean() ? 200 : 503, "");
        } else if (path.startsWith(METRICS)) {
            answer(exchange, 200, mMeters.scrape());
        } else {
            answer(exchange, 404, "");
        }
    }

    @Override
    public CallerLimits limits() {
        return CallerLimits.DEFAULTS;
    }

    @Override
    public boolean isStopping() {
        return false;
    }

    @Override
    public void refused(ErrorKind kind, String reason) {
        // Nothing to record: the client is the platform itself, which repeats a failed probe.
    }

    private static void answer(CallerExchange exchange, int status, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.begin(
                status,
                HttpResponseStatus.valueOf(status).reasonPhrase(),
                headers,
                OptionalLong.of(body.length));
        exchange.write(Unpooled.wrappedBuffer(body));
        exchange.end();
    }
}
