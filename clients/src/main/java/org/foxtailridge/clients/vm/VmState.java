package org.foxtailridge.clients.vm;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What the platform says of a VM. */
public enum VmState {
    /** Runs. */
    @JsonProperty("live")
    LIVE,
    /** Will be taken away. */
    @JsonProperty("leaving")
    LEAVING
}
