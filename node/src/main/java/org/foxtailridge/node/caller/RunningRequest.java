package org.foxtailridge.node.caller;

/** A request that runs on this node. */
interface RunningRequest {
    /** Returns the public identifier of the caller's key; empty on open routes. */
    String key();

    /** Returns the name of the client account; empty on open routes. */
    String clientAccount();

    /** The key was withdrawn: ends the request. */
    void keyWithdrawn();
}
