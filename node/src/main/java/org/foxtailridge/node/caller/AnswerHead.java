package org.foxtailridge.node.caller;

import java.util.List;
import org.foxtailridge.clients.engine.Usage;
import org.foxtailridge.node.caller.CompletionBodies.Body;
import org.foxtailridge.node.caller.CompletionBodies.Choice;
import org.foxtailridge.node.caller.CompletionBodies.UsageBody;

/**
 * What all parts of one answer have in common.
 *
 * @param shape shape of the answer
 * @param id identifier of the answer
 * @param createdSeconds instant of the request, in seconds since the epoch
 * @param model model as the caller named it
 */
record AnswerHead(CompletionShape shape, String id, long createdSeconds, String model) {
    Body chunk(Choice choice, Usage usage) {
        return body(shape.chunkObject(), choice, usage);
    }

    Body whole(Choice choice, Usage usage) {
        return body(shape.wholeObject(), choice, usage);
    }

    private Body body(String object, Choice choice, Usage usage) {
        UsageBody usageBody =
                usage == null
                        ? null
                        : new UsageBody(
                                usage.promptTokens(),
                                usage.completionTokens(),
                                usage.promptTokens() + usage.completionTokens());
        return new Body(id, object, createdSeconds, model, List.of(choice), usageBody);
    }
}
