package org.foxtailridge.standins.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Prefixes of prompts in whole blocks of {@link #BLOCK_CHARACTERS}, the least recently used evicted
 * first. Used by one thread.
 */
public final class PrefixCache {
    /** Characters in a block; a prefix is a whole number of blocks. */
    public static final int BLOCK_CHARACTERS = 256;

    private static final int BLOCK_TOKENS = 64;
    private static final int HASH_CHARACTERS = 16;
    private static final int MAXIMUM_EVENTS = 4_096;
    private static final int MAXIMUM_BLOCKS_OF_PROMPT = 64;
    private static final char SEPARATOR = '\0';

    private final EngineSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final Map<String, Block> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Published> mEvents = new ArrayDeque<>();
    private long mSequence;
    private long mTokens;

    PrefixCache(EngineSettings settings) {
        mSettings = settings;
        mRandom = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
    }

    /**
     * Returns the hash by which events name a prefix: the first 16 hexadecimal digits of the
     * SHA-256 of model, adapter or nothing, and prefix, separated by zero characters.
     */
    public static String hashOf(String model, String adapter, String prefix) {
        String whole = model + SEPARATOR + (adapter == null ? "" : adapter) + SEPARATOR + prefix;
        return Hashing.sha256()
                .hashString(whole, StandardCharsets.UTF_8)
                .toString()
                .substring(0, HASH_CHARACTERS);
    }

    /** Stores the prefixes of a prompt and returns how many of its tokens were cached before. */
    int use(String model, String adapter, String prompt, Instant now) {
        int blocks = Math.min(prompt.length() / BLOCK_CHARACTERS, MAXIMUM_BLOCKS_OF_PROMPT);
        int cached = 0;
        for (int block = 1; block <= blocks; block++) {
            String prefix = prompt.substring(0, block * BLOCK_CHARACTERS);
            int tokens = DeterministicText.tokensOf(prefix);
            boolean hit = store(model, hashOf(model, adapter, prefix), tokens, now);
            cached = hit ? tokens : cached;
        }
        return cached;
    }

    /** Returns the published events from a sequence number on. */
    List<CacheEvent> events(long from, int limit, Instant now) {
        Instant published = now.minus(mSettings.cacheEventLag());
        return mEvents.stream()
                .filter(event -> !event.at().isAfter(published))
                .map(Published::event)
                .filter(event -> event.sequence() >= from)
                .limit(limit)
                .toList();
    }

    /** Returns the sequence number of the oldest event that is kept. */
    long firstSequence() {
        return mEvents.isEmpty() ? mSequence : mEvents.peekFirst().event().sequence();
    }

    /** Stores a prefix that another engine exported. */
    void importPrefix(String model, String hash, int tokens, Instant now) {
        store(model, hash, tokens, now);
    }

    private boolean store(String model, String hash, int tokens, Instant now) {
        if (mBlocks.get(hash) != null) {
            return true;
        }
        mBlocks.put(hash, new Block(model, tokens));
        mTokens += BLOCK_TOKENS;
        publish("stored", model, hash, tokens, now);
        evict(now);
        return false;
    }

    private void evict(Instant now) {
        Iterator<Map.Entry<String, Block>> oldest = mBlocks.entrySet().iterator();
        while (mTokens > mSettings.prefixCacheTokens() && oldest.hasNext()) {
            Map.Entry<String, Block> entry = oldest.next();
            oldest.remove();
            mTokens -= BLOCK_TOKENS;
            Block block = entry.getValue();
            publish("evicted", block.model(), entry.getKey(), block.tokens(), now);
        }
    }

    private void publish(String kind, String model, String hash, int tokens, Instant now) {
        CacheEvent event = new CacheEvent(mSequence++, kind, model, hash, tokens);
        if (mRandom.nextDouble() >= mSettings.cacheEventLoss()) {
            mEvents.addLast(new Published(now, event));
        }
        if (mEvents.size() > MAXIMUM_EVENTS) {
            mEvents.removeFirst();
        }
    }

    private record Block(String model, int tokens) {}

    private record Published(Instant at, CacheEvent event) {}
}
