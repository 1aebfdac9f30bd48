package org.foxtailridge.node.duty;

import com.fasterxml.jackson.core.type.TypeReference;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.clients.engine.EngineClient;
import org.foxtailridge.clients.engine.EngineOrder;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.core.json.Json;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.placement.Placement;
import org.foxtailridge.placement.PlacementOutbox;
import org.foxtailridge.placement.order.Order;
import org.foxtailridge.placement.order.OrderAnswer;
import org.foxtailridge.placement.order.OrderRecord;
import org.foxtailridge.placement.order.OrderRecordCodec;
import org.foxtailridge.protocol.placement.PlacementStep;

/** Records orders in the log, sends them to engines and brings the answers back. */
final class PlacementOrders implements PlacementOutbox {
    private static final Logger LOGGER = LogManager.getLogger(PlacementOrders.class);
    private static final String STREAM = "orders";
    private static final int CONFLICT = 409;
    private static final int NO_MEMORY = 507;

    private final DutyThread mThread;
    private final LogService mLog;
    private final EngineClient mEngines;
    private final ConfigurationView mConfiguration;
    private final Clock mClock;
    private final Consumer<PlacementStep> mForward;
    private Placement mPlacement;

    PlacementOrders(
            DutyThread thread,
            LogService log,
            EngineClient engines,
            ConfigurationView configuration,
            Clock clock,
            Consumer<PlacementStep> forward) {
        mThread = thread;
        mLog = log;
        mEngines = engines;
        mConfiguration = configuration;
        mClock = clock;
        mForward = forward;
    }

    /** Sets the placement that hears of answers. */
    void answersTo(Placement placement) {
        mPlacement = placement;
    }

    @Override
    public void append(OrderRecord record) {
        mLog.append(STREAM, List.of(OrderRecordCodec.encode(record)))
                .whenComplete(
                        (offset, failure) -> {
                            if (failure != null) {
                                LOGGER.warn("a record of orders was not confirmed by the log");
                            }
                        });
    }

    @Override
    public void send(Order order, Instant notAfter) {
        Optional<String> address = addressOf(order.endpoint());
        if (address.isEmpty() || !mClock.instant().isBefore(notAfter)) {
            answer(order, OrderAnswer.LOST);
            return;
        }
        LOGGER.info(
                "order {} to {}: {} {}",
                order.orderId(),
                order.endpoint(),
                order.action(),
                order.artifact().name());
        mEngines.order(address.get(), wireOrder(order))
                .whenComplete(
                        (answer, failure) ->
                                answer(
                                        order,
                                        failure == null ? answerOf(answer) : OrderAnswer.LOST));
    }

    @Override
    public void query(String endpoint, String orderId, long query) {
        addressOf(endpoint)
                .ifPresent(
                        address ->
                                mEngines.orderState(address, orderId)
                                        .whenComplete(
                                                (answer, failure) ->
                                                        stateOf(
                                                                endpoint,
                                                                orderId,
                                                                query,
                                                                failure == null
                                                                        ? answerOf(answer)
                                                                        : OrderAnswer.LOST)));
    }

    @Override
    public void forward(PlacementStep step) {
        mForward.accept(step);
    }

    private void answer(Order order, OrderAnswer answer) {
        mThread.offer(() -> mPlacement.answered(order.endpoint(), order.orderId(), answer));
    }

    private void stateOf(String endpoint, String orderId, long query, OrderAnswer answer) {
        mThread.offer(() -> mPlacement.stateOf(endpoint, orderId, query, answer));
    }

    private Optional<String> addressOf(String endpoint) {
        return mConfiguration.current().find(Endpoint.class, endpoint).map(Endpoint::address);
    }

    private static EngineOrder wireOrder(Order order) {
        String action = Json.mapper().convertValue(order.action(), new TypeReference<String>() {});
        boolean isModel = order.artifact().isModel();
        return new EngineOrder(
                order.orderId(),
                order.fencing(),
                action,
                order.artifact().name(),
                isModel ? null : order.artifact().model(),
                order.artifact().version(),
                order.bytes(),
                order.workingBytes());
    }

    private static OrderAnswer answerOf(org.foxtailridge.clients.engine.OrderAnswer answer) {
        if (answer.status() == CONFLICT) {
            return OrderAnswer.OLD_FENCING;
        }
        if (answer.status() == NO_MEMORY) {
            return OrderAnswer.NO_MEMORY;
        }
        return switch (answer.state() == null ? "" : answer.state()) {
            case "running" -> OrderAnswer.RUNNING;
            case "done" -> OrderAnswer.DONE;
            case "failed" -> OrderAnswer.FAILED;
            case "unknown" -> OrderAnswer.UNKNOWN;
            default -> OrderAnswer.LOST;
        };
    }
}
