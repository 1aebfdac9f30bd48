package org.foxtailridge.execution.quarantine;

import org.foxtailridge.protocol.quarantine.QuarantineMessage;

/** What a {@link Quarantine} wants done. Called on its thread; must not call it back directly. */
public interface QuarantineOutbox {
    /**
     * The attempt may run.
     *
     * @param runId identifier of the attempt
     * @param isolated whether it may run only where little else runs
     */
    void permit(String runId, boolean isolated);

    /** The request is quarantined; the attempt must not run. */
    void refuse(String runId);

    /** Send a message to a node. It may be lost, late or doubled. */
    void send(String node, QuarantineMessage message);

    /** Send a message to all other nodes. It may be lost, late or doubled. */
    void broadcast(QuarantineMessage message);

    /** Append a record to the log stream {@code quarantine}, if the log answers. */
    void append(QuarantineRecord record);
}
