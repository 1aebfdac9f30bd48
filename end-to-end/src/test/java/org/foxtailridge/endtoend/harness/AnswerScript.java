package org.foxtailridge.endtoend.harness;

import java.io.IOException;

/** Decides what a {@link RawWorker} writes in answer to a request. */
public interface AnswerScript {
    /** Writes the answer; returns when the worker has nothing more to write. */
    void answer(RawAnswer answer) throws IOException;
}
