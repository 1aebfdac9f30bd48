package org.foxtailridge.configuration.follow;

import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.configuration.ConfigurationMessage;

/** What a follower asks the node to do. Calls come on the follower's thread. */
public interface FollowerOutbox {
    /** Reads the log; the answer goes to {@link ConfigurationFollower#onLogAnswer}. */
    void read(LogRead read);

    /** Sends a message to another node; it may be lost. */
    void send(NodeName node, ConfigurationMessage message);

    /**
     * Takes note that another configuration is in force on this node.
     *
     * @param before state in force until now
     * @param after state in force from now on; its offset is higher
     */
    void inForce(ConfigurationState before, ConfigurationState after);
}
