package org.foxtailridge.routing;

/** Phases that an engine executes. */
public enum EngineRole {
    /** Computes prompts and hands their KV cache on. */
    PREFILL,
    /** Takes over KV cache and generates tokens. */
    DECODE,
    /** Both phases. */
    BOTH
}
