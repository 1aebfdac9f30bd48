package org.foxtailridge.forwarding.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the head of a request says. Immutable.
 *
 * @param requestId identifier that the caller gave this try of the request; empty text for none
 * @param host host that it names
 * @param target path and query
 * @param key key of the caller; empty when it shows none
 * @param timeoutMilliseconds time for which the caller waits; empty when it doesn't say
 * @param model model that it asks for; empty for none
 * @param promptTokens tokens of the prompt; empty when it doesn't say
 * @param maximumOutputTokens most tokens of the answer; empty when it doesn't say
 * @param expectedOutputTokens the caller's estimate of the answer's tokens; empty for none
 * @param parts parts of the prompt in order
 * @param resumeAfter identifier of the last event that the caller has; empty for a new stream
 */
public record RequestMetadata(
        String requestId,
        String host,
        String target,
        Optional<String> key,
        OptionalLong timeoutMilliseconds,
        Optional<WantedModel> model,
        OptionalInt promptTokens,
        OptionalInt maximumOutputTokens,
        OptionalInt expectedOutputTokens,
        List<PromptPart> parts,
        Optional<String> resumeAfter) {
    /** Checks that no part is missing and copies the list. */
    public RequestMetadata {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
        parts = List.copyOf(parts);
    }

    /** Returns the tokens that count against a limit; empty when the request doesn't say. */
    public OptionalLong countedTokens() {
        if (promptTokens.isEmpty() || maximumOutputTokens.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((long) promptTokens.getAsInt() + maximumOutputTokens.getAsInt());
    }
}
