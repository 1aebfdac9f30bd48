package org.foxtailridge.routing;

/** Inference phases that an engine executes: prefill, decode or both. */
public enum EngineRole {
    /** Computes prompts and hands the KV cache over to a decoding engine. */
    PREFILL,
    /** Takes over the KV cache of a prompt and generates tokens; gets no requests of its own. */
    DECODE,
    /** Computes prompts and generates tokens. */
    BOTH
}
