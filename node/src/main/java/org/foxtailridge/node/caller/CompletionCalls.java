package org.foxtailridge.node.caller;

import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.clients.engine.ChatMessage;
import org.foxtailridge.clients.engine.CompletionCall;
import org.foxtailridge.routing.EnginePriority;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;

/** Makes what a completion asks of routing and of engines. */
final class CompletionCalls {
    private final CompletionRequest mRequest;
    private final ModelChoice mChoice;

    CompletionCalls(CompletionRequest request, ModelChoice choice) {
        mRequest = request;
        mChoice = choice;
    }

    /**
     * Returns the call for an attempt.
     *
     * @param version version of the model on the chosen endpoint
     * @param textSoFar text of the answer that the caller has already, which the prompt then ends
     *     in
     * @param tokensSoFar tokens of that text
     */
    CompletionCall call(String version, String textSoFar, int tokensSoFar) {
        return new CompletionCall(
                mChoice.model().name(),
                version,
                mChoice.adapterName().orElse(null),
                mRequest.prompt() == null ? null : mRequest.prompt() + textSoFar,
                mRequest.messages() == null ? null : messages(textSoFar),
                Math.max(1, mRequest.maximumTokens() - tokensSoFar),
                true,
                EnginePriority.of(mRequest.workClass()));
    }

    private List<ChatMessage> messages(String textSoFar) {
        if (textSoFar.isEmpty()) {
            return mRequest.messages();
        }
        List<ChatMessage> messages = new ArrayList<>(mRequest.messages());
        messages.add(new ChatMessage("assistant", textSoFar));
        return messages;
    }

    /**
     * Returns the request as routing sees it.
     *
     * @param runId identifier that is unique on this node
     * @param clientAccount name of the client account
     * @param tokensSoFar tokens of the answer that the caller has already
     */
    RouteRequest routeRequest(String runId, String clientAccount, int tokensSoFar) {
        RouteTarget target =
                new RouteTarget.ModelTarget(
                        mChoice.model().name(), mChoice.model().version(), mChoice.adapterName());
        RouteRequest.Builder builder =
                RouteRequest.builder(runId, target)
                        .clientAccount(clientAccount)
                        .workClass(mRequest.workClass())
                        .prefixes(PromptPrefixes.of(mRequest, mChoice))
                        .promptTokens(mRequest.promptTokens() + tokensSoFar)
                        .maximumTokens(Math.max(1, mRequest.maximumTokens() - tokensSoFar));
        mRequest.due().ifPresent(builder::deadline);
        return builder.build();
    }
}
