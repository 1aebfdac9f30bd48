package org.foxtailridge.node.caller;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.routing.PromptPrefix;

/** Names the prefixes of a prompt as engines do in their cache events. */
final class PromptPrefixes {
    private static final int BLOCK_CHARACTERS = 256;
    private static final int BLOCK_TOKENS = 64;
    private static final int MAXIMUM_BLOCKS = 16;
    private static final int HASH_CHARACTERS = 16;
    private static final char SEPARATOR = '\0';

    private PromptPrefixes() {}

    /** Returns the prefixes in whole blocks, from the shortest to the longest. */
    static List<PromptPrefix> of(CompletionRequest request, ModelChoice choice) {
        String text = request.text();
        int blocks = Math.min(text.length() / BLOCK_CHARACTERS, MAXIMUM_BLOCKS);
        String head =
                choice.model().name() + SEPARATOR + choice.adapterName().orElse("") + SEPARATOR;
        List<PromptPrefix> prefixes = new ArrayList<>(blocks);
        for (int block = 1; block <= blocks; block++) {
            String prefix = head + text.substring(0, block * BLOCK_CHARACTERS);
            prefixes.add(new PromptPrefix(hash(prefix), block * BLOCK_TOKENS));
        }
        return prefixes;
    }

    private static String hash(String prefix) {
        return Hashing.sha256()
                .hashString(prefix, StandardCharsets.UTF_8)
                .toString()
                .substring(0, HASH_CHARACTERS);
    }
}
