package org.foxtailridge.node.caller;

import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.platform.engine.ChatMessage;
import org.foxtailridge.platform.engine.CompletionCall;
import org.foxtailridge.routing.EnginePriority;

/** Makes the calls of engines that a completion leads to. */
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
}
