package org.foxtailridge.forwarding.request;

import java.util.Objects;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifier of the part
 * @param tokens length of the part, in tokens
 */
public record PromptPart(String id, int tokens) {
    /** Checks the length. */
    public PromptPart {
        Objects.requireNonNull(id, "id");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens must be at least 1 but was " + tokens);
        }
    }
}
