package org.foxtailridge.node.caller;

/** The two shapes of completions that callers may ask for. */
enum CompletionShape {
    /** {@code POST /v1/completions}. */
    TEXT("text_completion", "text_completion", "cmpl-"),
    /** {@code POST /v1/chat/completions}. */
    CHAT("chat.completion", "chat.completion.chunk", "chatcmpl-");

    private final String mWholeObject;
    private final String mChunkObject;
    private final String mIdPrefix;

    CompletionShape(String wholeObject, String chunkObject, String idPrefix) {
        mWholeObject = wholeObject;
        mChunkObject = chunkObject;
        mIdPrefix = idPrefix;
    }

    /** Returns the value of {@code object} in a whole answer. */
    String wholeObject() {
        return mWholeObject;
    }

    /** Returns the value of {@code object} in a part of a stream. */
    String chunkObject() {
        return mChunkObject;
    }

    /** Returns the identifier of the answer to a request. */
    String answerId(String requestId) {
        return mIdPrefix + requestId;
    }
}
