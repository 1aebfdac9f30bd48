package org.foxtailridge.standins.engine;

import java.util.List;
import java.util.Optional;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.Refusal;
import org.foxtailridge.standins.time.EventLoop;

/**
 * Export and import of KV caches. A handle names model and prompt prefix; importing it stores the
 * prefix in the prefix cache.
 */
final class KvHandles {
    private static final String SEPARATOR = ":";
    private static final int PARTS = 4;

    private final EngineSettings mSettings;
    private final AttemptBook mBook;

    KvHandles(EngineSettings settings, AttemptBook book) {
        mSettings = settings;
        mBook = book;
    }

    void export(Exchange exchange) {
        String attemptId = exchange.body(OrderMessages.KvExport.class).attemptId();
        Optional<Attempt> attempt = mBook.find(String.valueOf(attemptId));
        if (attempt.isEmpty()) {
            exchange.answer(404, Refusal.notStarted("unknown_attempt"));
            return;
        }
        CompletionRequest request = attempt.get().request();
        String prompt = request.promptText();
        int blocks = prompt.length() / PrefixCache.BLOCK_CHARACTERS;
        String prefix = prompt.substring(0, blocks * PrefixCache.BLOCK_CHARACTERS);
        int tokens = DeterministicText.tokensOf(prefix);
        String hash = PrefixCache.hashOf(request.model(), request.adapter(), prefix);
        String handle =
                String.join(SEPARATOR, "kv", hash, Integer.toString(tokens), request.model());
        long bytes = tokens * mSettings.kvBytesPerToken();
        exchange.answer(200, new OrderMessages.KvHandle(handle, bytes));
    }

    void importInto(Exchange exchange, EngineCore core, EventLoop loop) {
        OrderMessages.KvHandle handle = exchange.body(OrderMessages.KvHandle.class);
        List<String> parts = List.of(String.valueOf(handle.handle()).split(SEPARATOR, PARTS));
        if (parts.size() != PARTS || !parts.get(2).matches("[0-9]{1,9}")) {
            exchange.answer(400, Refusal.notStarted("malformed"));
            return;
        }
        int tokens = Integer.parseInt(parts.get(2));
        core.prefixCache().importPrefix(parts.get(3), parts.get(1), tokens, loop.clock().instant());
        exchange.answer(200, handle);
    }
}
