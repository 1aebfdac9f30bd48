package org.foxtailridge.forwarding.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Metadata parsed from the head of a caller's request. Immutable.
 *
 * @param requestId identifier that the caller gave to this try of the request; empty text if none
 * @param host host that the request names, with or without a port
 * @param target path and query
 * @param key API key of the caller; empty if the request carries none
 * @param timeoutMilliseconds time for which the caller waits for the answer; empty if not stated
 * @param model requested model; empty if none
 * @param promptTokens length of the prompt in tokens; empty if not stated
 * @param maximumOutputTokens maximum length of the answer in tokens; empty if not stated
 * @param expectedOutputTokens caller's estimate of the answer's length in tokens; empty if none
 * @param parts parts of the prompt in order
 * @param resumeAfter identifier of the last event that the caller has received; empty for a new
 *     stream
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
    /** Rejects null components and copies the list. */
    public RequestMetadata {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
        parts = List.copyOf(parts);
    }

    /**
     * Returns the tokens that count against a client account's limit: those of the prompt plus the
     * maximum of the answer; empty if the request does not state both.
     */
    public OptionalLong countedTokens() {
        if (promptTokens.isEmpty() || maximumOutputTokens.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((long) promptTokens.getAsInt() + maximumOutputTokens.getAsInt());
    }

    /**
     * Returns the identifiers of the parts of the prompt that other requests may have in common
     * with this one: all but the last, which belongs to the request or its session.
     */
    public List<String> sharedParts() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).map(PromptPart::id).toList();
    }
}
