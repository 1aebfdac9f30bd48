package org.foxtailridge.execution.crash;

import org.foxtailridge.protocol.crashes.CrashesMessage;

/** Carries what a {@link CrashLedger} tells the other nodes. */
@FunctionalInterface
public interface CrashOutbox {
    /** Sends a message to every other node; it may be lost. */
    void broadcast(CrashesMessage message);
}
