package org.foxtailridge.placement.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Stream;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.placement.engine.Artifact;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that order records survive the log and that unreadable ones are refused. */
class OrderRecordCodecTest {
    private static final Artifact MODEL = Artifact.model("writer", "1");
    private static final Order ORDER =
            new Order("stone-1-3-1", "stone-1", 3, OrderAction.LOAD_MODEL, MODEL, 10, 2);

    static Stream<OrderRecord> records() {
        return Stream.of(
                new OrderRecord.EndpointTaken(
                        1, "a", "stone-1", 3, 7, List.of(MODEL), List.of(ORDER)),
                new OrderRecord.OrderIntended(
                        1,
                        "b",
                        "stone-1",
                        3,
                        ORDER,
                        List.of("stone-2"),
                        new WeightStoreLimits(1.5, 7, 55)),
                new OrderRecord.OrderResolved(
                        1, "c", "stone-1", 3, ORDER, OrderOutcome.VOID, 7, true));
    }

    @ParameterizedTest
    @MethodSource("records")
    void should_read_what_it_wrote(OrderRecord record) {
        assertThat(OrderRecordCodec.decode(OrderRecordCodec.encode(record))).isEqualTo(record);
    }

    @Test
    void should_tolerate_unknown_fields() {
        // GIVEN
        OrderRecord record = records().toList().get(2);
        String payload = OrderRecordCodec.encode(record).replaceFirst("\\{", "{\"added\":[1],");
        // THEN
        assertThat(OrderRecordCodec.decode(payload)).isEqualTo(record);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"format\":2,\"type\":\"order_intended\"}",
                "{\"type\":\"order_intended\"}",
                "{\"format\":1,\"type\":\"other\"}",
                "not json"
            })
    void should_refuse_what_it_cannot_read(String payload) {
        assertThatThrownBy(() -> OrderRecordCodec.decode(payload))
                .isInstanceOfSatisfying(
                        FoxtailridgeException.class,
                        failure ->
                                assertThat(failure.kind())
                                        .isEqualTo(ErrorKind.INCOMPATIBLE_VERSION));
    }
}
