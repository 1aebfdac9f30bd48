package org.foxtailridge.node.caller;

import java.time.Clock;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.execution.quarantine.Fingerprint;

/** Serves {@code POST /v1/completions} and {@code POST /v1/chat/completions}. */
@Singleton
final class CompletionHandler {
    private final CompletionServices mServices;
    private final Authentication mAuthentication;
    private final Clock mClock;

    @Inject
    CompletionHandler(CompletionServices services, Authentication authentication, Clock clock) {
        mAuthentication = authentication;
        mServices = services;
        mClock = clock;
    }

    void handle(CallerExchange exchange, CompletionShape shape) {
        Caller caller = mAuthentication.authenticate(exchange);
        exchange.describe("completion", caller.clientAccount());
        exchange.body()
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                exchange.fail(FoxtailridgeException.from(failure));
                            } else {
                                start(exchange, caller, shape, body);
                            }
                        });
    }

    private void start(CallerExchange exchange, Caller caller, CompletionShape shape, byte[] body) {
        try {
            CompletionRequest request = CompletionRequestParser.parse(shape, body);
            Configuration configuration = mServices.configuration().current();
            ModelChoice choice = ModelChoice.find(configuration, caller, request.model());
            requireContext(choice, request);
            mServices.running().requireRoom(caller);
            run(exchange, caller, request, choice, body).start();
        } catch (FoxtailridgeException refusal) {
            exchange.fail(refusal);
        }
    }

    private static void requireContext(ModelChoice choice, CompletionRequest request) {
        long tokens = (long) request.promptTokens() + request.maximumTokens();
        int context = choice.model().contextTokens();
        if (context > 0 && tokens > context) {
            throw MalformedRequestException.badField(
                    "max_tokens",
                    "at most " + context + " tokens together with the prompt but was " + tokens);
        }
    }

    private CompletionRun run(
            CallerExchange exchange,
            Caller caller,
            CompletionRequest request,
            ModelChoice choice,
            byte[] body) {
        AnswerHead head =
                new AnswerHead(
                        request.shape(),
                        request.shape().answerId(exchange.requestId()),
                        mClock.instant().getEpochSecond(),
                        request.model());
        AnswerSink sink =
                request.stream()
                        ? new StreamedAnswerSink(exchange, head)
                        : new WholeAnswerSink(exchange, head);
        Fingerprint fingerprint = Fingerprint.of(caller.clientAccount(), request.model(), body);
        return new CompletionRun(mServices, exchange, caller, request, choice, sink, fingerprint);
    }
}
