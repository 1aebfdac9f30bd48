package org.foxtailridge.standins.engine;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Text that depends on model, version, adapter and prompt alone, so that every engine gives the
 * same answer.
 *
 * <pre>{@code
 * DeterministicText text = DeterministicText.of("scribe", "1", null, "A block of marble");
 * text.token(0);
 * text.whole(200);
 * }</pre>
 */
public final class DeterministicText {
    private static final HashFunction HASH = Hashing.sipHash24();
    private static final long INDEX_FACTOR = 0x9E3779B97F4A7C15L;
    private static final long MIX_FACTOR = 0xBF58476D1CE4E5B9L;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final char SEPARATOR = '\0';
    private static final String[] ONSETS = {
        "b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "z", "ch", "sh"
    };
    private static final String[] VOWELS = {"a", "e", "i", "o", "u", "ai", "ou", "ea"};

    private final long mSeed;

    private DeterministicText(long seed) {
        mSeed = seed;
    }

    /**
     * Returns the text of an answer.
     *
     * @param model name of the model
     * @param version version of the model
     * @param adapter name of the adapter, or null
     * @param prompt the prompt; see {@link CompletionRequest#promptText}
     */
    public static DeterministicText of(
            String model, String version, String adapter, String prompt) {
        String whole =
                model
                        + SEPARATOR
                        + version
                        + SEPARATOR
                        + (adapter == null ? "" : adapter)
                        + SEPARATOR
                        + prompt;
        return new DeterministicText(HASH.hashString(whole, StandardCharsets.UTF_8).asLong());
    }

    /** Returns the number of tokens of a prompt: a quarter of its characters, at least 1. */
    public static int tokensOf(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /** Returns the text of the token at an index, which begins with a space except at 0. */
    public String token(int index) {
        long bits = bitsAt(index);
        String word = syllable(bits) + syllable(bits >>> 16);
        return index == 0 ? word : " " + word;
    }

    /** Returns the text of the first tokens. */
    public String whole(int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(index));
        }
        return text.toString();
    }

    /**
     * Returns the length at which the answer ends by itself.
     *
     * @param mean mean length, in tokens; 0 for answers that never end by themselves
     */
    int naturalTokens(int mean) {
        if (mean == 0) {
            return Integer.MAX_VALUE;
        }
        return 1 + (int) Long.remainderUnsigned(bitsAt(-1), 2L * mean - 1);
    }

    private long bitsAt(int index) {
        long mixed = mSeed + INDEX_FACTOR * (index + 1L);
        mixed = (mixed ^ (mixed >>> 30)) * MIX_FACTOR;
        return mixed ^ (mixed >>> 31);
    }

    private static String syllable(long bits) {
        return ONSETS[(int) (bits & 15)] + VOWELS[(int) (bits >>> 4 & 7)];
    }
}
