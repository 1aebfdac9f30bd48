package org.foxtailridge.placement.order;

import java.util.function.Supplier;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.memory.MemoryLedger;

/** A fold of the stream with one rule broken. */
public final class MutatedHistory {
    private MutatedHistory() {}

    public static OrderHistory lateOrdersAreFree(OrderSettings settings) {
        return withLedger(
                settings,
                () ->
                        new MemoryLedger(0) {
                            @Override
                            public void mayArriveLate(
                                    String orderId,
                                    Artifact artifact,
                                    long bytes,
                                    long incarnation) {}
                        });
    }

    public static OrderHistory formerHoldersAreAdmitted(OrderSettings settings) {
        return new OrderHistory(settings) {
            @Override
            boolean isFenced(OrderRecord record, EndpointHistory history) {
                return false;
            }
        };
    }

    public static OrderHistory noWitness(OrderSettings settings) {
        return new OrderHistory(settings) {
            @Override
            boolean hasWitness(OrderRecord.OrderIntended record) {
                return true;
            }
        };
    }

    private static OrderHistory withLedger(OrderSettings settings, Supplier<MemoryLedger> ledgers) {
        return new OrderHistory(settings) {
            @Override
            MemoryLedger newLedger() {
                return ledgers.get();
            }
        };
    }
}
