package org.foxtailridge.forwarding.request;

import java.util.Objects;

/**
 * One part of a prompt, which other requests may share, so that engines can reuse its cached state.
 *
 * @param id identifier of the part
 * @param tokens length of the part in tokens; at least 1
 */
public record PromptPart(String id, int tokens) {
    /**
     * Checks the length.
     *
     * @throws IllegalArgumentException if {@code tokens} is less than 1
     */
    public PromptPart {
        Objects.requireNonNull(id, "id");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens must be at least 1 but was " + tokens);
        }
    }
}
