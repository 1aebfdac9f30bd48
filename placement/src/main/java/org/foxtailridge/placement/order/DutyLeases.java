package org.foxtailridge.placement.order;

import java.util.Optional;

/** The duties that this node holds. Implemented by the node over its lease module. */
public interface DutyLeases {
    /** Returns the lease of the duty of orders to an endpoint, if this node holds it. */
    Optional<DutyLease> ordersOf(String endpoint);

    /** Returns the lease of the planning duty, if this node holds it. */
    Optional<DutyLease> planning();
}
