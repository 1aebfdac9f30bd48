package org.foxtailridge.node.duty;

import java.util.Map;
import java.util.Optional;
import org.foxtailridge.membership.lease.HeldLease;
import org.foxtailridge.membership.lease.Lease;

/**
 * Who holds which duty, as one node knows it. Immutable.
 *
 * @param held leases of this node by duty; to be checked against the clock before each use
 * @param shown leases by duty as the log shows them, also of other nodes
 */
public record DutyHolding(Map<String, HeldLease> held, Map<String, Lease> shown) {
    /** Copies the maps. */
    public DutyHolding {
        held = Map.copyOf(held);
        shown = Map.copyOf(shown);
    }

    /** Returns the lease of this node. */
    public Optional<HeldLease> heldOf(String duty) {
        return Optional.ofNullable(held.get(duty));
    }

    /** Returns the lease as the log shows it. */
    public Optional<Lease> shownOf(String duty) {
        return Optional.ofNullable(shown.get(duty));
    }
}
