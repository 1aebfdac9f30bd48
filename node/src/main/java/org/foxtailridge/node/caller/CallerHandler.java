package org.foxtailridge.node.caller;

import java.util.regex.Pattern;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.node.duty.ConfigurationView;
import org.foxtailridge.node.duty.NodeState;
import org.foxtailridge.node.settings.NodeSettings;

/** Sends each request of a caller to what serves its path. */
@Singleton
final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final Logger LOGGER = LogManager.getLogger(CallerHandler.class);
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
    private static final String SERVICES = "/services/";

    private final NodeSettings mSettings;
    private final ConfigurationView mConfiguration;
    private final NodeState mState;
    private final AttemptIdentifiers mIdentifiers;
    private final CompletionHandler mCompletions;
    private final ModelsHandler mModels;
    private final ServiceHandler mServices;
    private final RequestLog mLog;

    @Inject
    CallerHandler(
            NodeSettings settings,
            ConfigurationView configuration,
            NodeState state,
            AttemptIdentifiers identifiers,
            CompletionHandler completions,
            ModelsHandler models,
            ServiceHandler services,
            RequestLog log) {
        mSettings = settings;
        mConfiguration = configuration;
        mState = state;
        mIdentifiers = identifiers;
        mCompletions = completions;
        mModels = models;
        mServices = services;
        mLog = log;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallerExchange exchange =
                new CallerExchange(
                        requestIdOf(request),
                        request,
                        response,
                        callback,
                        mSettings.maximumBodyBytes(),
                        mLog);
        try {
            dispatch(exchange);
        } catch (FoxtailridgeException failure) {
            exchange.fail(failure);
        } catch (RuntimeException defect) {
            LOGGER.error("request {} failed", exchange.requestId(), defect);
            exchange.fail(FoxtailridgeException.from(defect));
        }
        return true;
    }

    private String requestIdOf(Request request) {
        String given = request.getHeaders().get(CallerExchange.REQUEST_ID);
        if (given != null && REQUEST_ID.matcher(given).matches()) {
            return given;
        }
        return mIdentifiers.next();
    }

    private void dispatch(CallerExchange exchange) {
        if (mState.isStopping()) {
            throw RefusedException.stopping();
        }
        if (!mConfiguration.isReady()) {
            throw RefusedException.notReady();
        }
        String path = exchange.path();
        if (path.equals("/v1/completions")) {
            requireMethod("POST", exchange);
            mCompletions.handle(exchange, CompletionShape.TEXT);
        } else if (path.equals("/v1/chat/completions")) {
            requireMethod("POST", exchange);
            mCompletions.handle(exchange, CompletionShape.CHAT);
        } else if (path.equals("/v1/models")) {
            requireMethod("GET", exchange);
            mModels.handle(exchange);
        } else if (path.startsWith(SERVICES)) {
            mServices.handle(exchange, path.substring(SERVICES.length()));
        } else {
            throw RefusedException.unknownPath(path);
        }
    }

    private static void requireMethod(String expected, CallerExchange exchange) {
        if (!exchange.method().equals(expected)) {
            throw RefusedException.methodNotAllowed(expected, exchange.method());
        }
    }
}
