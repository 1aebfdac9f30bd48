package org.foxtailridge.node.caller;

import java.util.concurrent.atomic.AtomicLong;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.node.peer.PeerIdentity;

/** Makes identifiers of requests and attempts that are unique over all nodes and their restarts. */
@Singleton
final class AttemptIdentifiers {
    private final String mPrefix;
    private final AtomicLong mNext = new AtomicLong();

    @Inject
    AttemptIdentifiers(PeerIdentity identity) {
        mPrefix = identity.name() + "-" + Long.toString(identity.incarnation(), 36) + "-";
    }

    String next() {
        return mPrefix + Long.toString(mNext.getAndIncrement(), 36);
    }
}
