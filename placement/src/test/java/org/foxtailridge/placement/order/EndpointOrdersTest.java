package org.foxtailridge.placement.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.junit.jupiter.api.Test;

/** Checks the orders of one endpoint step by step. */
class EndpointOrdersTest implements DutyLeases, OrderOutbox {
    private static final Artifact MODEL = Artifact.model("writer", "1");

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH.plusSeconds(100));
    private final OrderHistory mHistory = new OrderHistory(OrderSettings.defaults());
    private final Deque<OrderRecord> mAppended = new ArrayDeque<>();
    private final List<Order> mSent = new ArrayList<>();
    private final Instant mLeaseUntil = Instant.EPOCH.plusSeconds(10_000);

    private EndpointOrders orders(Orders factory) {
        EndpointHistory history = mHistory.endpoint("e", 100, false);
        return factory.create(
                history,
                this,
                this,
                (unload, witnesses) -> true,
                () -> new WeightStoreLimits(10, 10, 10),
                OrderSettings.defaults(),
                mClock);
    }

    @Test
    void should_charge_a_load_that_a_restarted_engine_confirmed() {
        checkLoadOverRestart(EndpointOrders::new);
        Orders mutated = MutatedOrders::answerConfirmsLoad;
        assertThatThrownBy(() -> new EndpointOrdersTest().checkLoadOverRestart(mutated))
                .isInstanceOf(AssertionError.class);
    }

    private void checkLoadOverRestart(Orders factory) {
        // GIVEN a load that is sent just after the engine has restarted
        EndpointOrders orders = orders(factory);
        String orderId = sendLoad(orders);
        // WHEN the restarted engine confirms it, and a report from before the restart comes then
        orders.answered(orderId, OrderAnswer.DONE);
        report(orders, 1, 2);
        pass(orders);
        report(orders, 2, 1);
        // THEN
        assertThat(mHistory.find("e").orElseThrow().ledger().chargedBytes()).isEqualTo(40);
    }

    @Test
    void should_send_nothing_after_a_pause_longer_than_the_lease() {
        // GIVEN an order that was recorded, but not sent
        EndpointOrders orders = orders(EndpointOrders::new);
        report(orders, 1, 1);
        pass(orders);
        orders.request(load());
        // WHEN the holder wakes after its lease and reads the record then
        mClock.advance(Duration.ofSeconds(20_000));
        pass(orders);
        pass(orders);
        // THEN
        assertThat(mSent).isEmpty();
        assertThat(orders.isHolding()).isFalse();
    }

    private String sendLoad(EndpointOrders orders) {
        report(orders, 1, 1);
        pass(orders);
        assertThat(orders.request(load())).isEqualTo(OrderRequest.Answer.ACCEPTED);
        pass(orders);
        return mSent.get(0).orderId();
    }

    private static OrderRequest load() {
        return new OrderRequest("e", OrderAction.LOAD_MODEL, MODEL, 30, 10, List.of());
    }

    private void report(EndpointOrders orders, long incarnation, long asOf) {
        mHistory.report(new LoadReport("e", incarnation, asOf, 100, 0, 0, false, List.of()));
        orders.reported();
    }

    /** Lets two seconds pass and the log give back what was appended. */
    private void pass(EndpointOrders orders) {
        mClock.advance(Duration.ofSeconds(2));
        orders.tick();
        while (!mAppended.isEmpty()) {
            OrderRecord record = mAppended.remove();
            orders.recorded(record, mHistory.apply(record, mClock.millis()));
        }
        orders.tick();
    }

    @Override
    public Optional<DutyLease> ordersOf(String endpoint) {
        return Optional.of(new DutyLease(1, mLeaseUntil));
    }

    @Override
    public Optional<DutyLease> planning() {
        return Optional.empty();
    }

    @Override
    public void append(OrderRecord record) {
        mAppended.add(record);
    }

    @Override
    public void send(Order order, Instant notAfter) {
        mSent.add(order);
    }

    @Override
    public void query(String endpoint, String orderId, long query) {}

    private interface Orders {
        EndpointOrders create(
                EndpointHistory history,
                DutyLeases leases,
                OrderOutbox outbox,
                UnloadGuard guard,
                Supplier<WeightStoreLimits> limits,
                OrderSettings settings,
                Clock clock);
    }
}
