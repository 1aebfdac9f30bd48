package org.foxtailridge.node.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.foxtailridge.clients.engine.ChatMessage;
import org.foxtailridge.clients.engine.CompletionToken;

/** Bodies of answers to completions, in the shape that callers' libraries expect. */
final class CompletionBodies {
    private CompletionBodies() {}

    /**
     * A whole answer or a part of a stream.
     *
     * @param id identifier of the answer
     * @param object kind of the body
     * @param created instant of the request, in seconds since the epoch
     * @param model model as the caller named it
     * @param choices the one choice
     * @param usage tokens taken, or null
     */
    record Body(
            String id,
            String object,
            long created,
            String model,
            List<Choice> choices,
            UsageBody usage) {}

    /**
     * The one choice of a body.
     *
     * @param index always 0
     * @param text text of a text completion, else null
     * @param message message of a whole chat answer, else null
     * @param delta part of a streamed chat answer, else null
     * @param finishReason why the answer ended; null while it has not
     */
    record Choice(
            int index,
            String text,
            ChatMessage message,
            Delta delta,
            @JsonInclude(JsonInclude.Include.ALWAYS) String finishReason) {}

    /**
     * Part of a chat answer.
     *
     * @param role role, with the first part only
     * @param content text
     */
    record Delta(String role, String content) {}

    /**
     * Tokens taken.
     *
     * @param promptTokens tokens of the prompt
     * @param completionTokens tokens generated
     * @param totalTokens both together
     */
    record UsageBody(int promptTokens, int completionTokens, int totalTokens) {}

    static Choice chunkChoice(CompletionShape shape, CompletionToken token) {
        if (shape == CompletionShape.TEXT) {
            return new Choice(0, token.text(), null, null, token.finishReason());
        }
        String role = token.index() == 0 ? "assistant" : null;
        return new Choice(0, null, null, new Delta(role, token.text()), token.finishReason());
    }

    static Choice wholeChoice(CompletionShape shape, String text, String finishReason) {
        if (shape == CompletionShape.TEXT) {
            return new Choice(0, text, null, null, finishReason);
        }
        return new Choice(0, null, new ChatMessage("assistant", text), null, finishReason);
    }
}
