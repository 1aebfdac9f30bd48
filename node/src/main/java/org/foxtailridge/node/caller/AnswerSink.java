package org.foxtailridge.node.caller;

import org.eclipse.jetty.util.Callback;
import org.foxtailridge.clients.engine.CompletionToken;
import org.foxtailridge.clients.engine.Usage;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Writes the answer to a completion; each form of answer has its own sink. */
interface AnswerSink {
    /** Writes one token; the callback tells when the caller can take the next. */
    void token(CompletionToken token, Callback written);

    /** Ends a whole answer. */
    void finish(Usage usage);

    /** Ends an answer that can't be whole. */
    void fail(FoxtailridgeException failure);
}
