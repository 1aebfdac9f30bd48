package org.foxtailridge.placement.simulation;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.placement.Placement;
import org.foxtailridge.placement.PlacementOutbox;
import org.foxtailridge.placement.order.DutyLease;
import org.foxtailridge.placement.order.DutyLeases;
import org.foxtailridge.placement.order.Order;
import org.foxtailridge.placement.order.OrderRecord;
import org.foxtailridge.protocol.placement.PlacementStep;

/** A node of the simulation: its leases and its place in the log. */
final class SimulatedNode implements DutyLeases, PlacementOutbox {
    private final Simulation mSimulation;
    private final Map<String, DutyLease> mLeases = new HashMap<>();
    Placement mPlacement;
    Instant mPausedUntil = Instant.EPOCH;
    int mNextRecord;
    boolean mDead;
    DutyLease mPlanning;

    SimulatedNode(Simulation simulation) {
        mSimulation = simulation;
    }

    void grant(String endpoint, DutyLease lease) {
        mLeases.put(endpoint, lease);
    }

    boolean runsAt(Instant now) {
        return !mDead && !now.isBefore(mPausedUntil);
    }

    @Override
    public Optional<DutyLease> ordersOf(String endpoint) {
        return Optional.ofNullable(mLeases.get(endpoint));
    }

    @Override
    public Optional<DutyLease> planning() {
        return Optional.ofNullable(mPlanning);
    }

    @Override
    public void append(OrderRecord record) {
        mSimulation.append(record);
    }

    @Override
    public void send(Order order, Instant notAfter) {
        mSimulation.send(this, order);
    }

    @Override
    public void query(String endpoint, String orderId, long query) {
        mSimulation.query(this, endpoint, orderId, query);
    }

    @Override
    public void forward(PlacementStep step) {
        mSimulation.forward(step);
    }
}
