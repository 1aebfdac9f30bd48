package org.foxtailridge.membership.digest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.digest.CentreDigest;
import org.foxtailridge.protocol.digest.DigestMessage;
import org.foxtailridge.protocol.digest.DutyHolder;
import org.foxtailridge.protocol.digest.EndpointSums;
import org.foxtailridge.protocol.digest.FleetDigest;
import org.foxtailridge.protocol.digest.NodeReport;
import org.foxtailridge.protocol.placement.AdapterResidence;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards what every node learns of the others, and that the messages for it grow linearly with the
 * nodes. A broadcast of every node to every other one takes 29,800 messages a second at 95 nodes.
 */
class FleetDigestsTest {
    private static final Duration SETTLED = Duration.ofSeconds(3);
    private static final Duration INTERVAL = Duration.ofMillis(300);
    private static final String ENDPOINT = "endpoint-1";
    private static final String MODEL = "service/model";

    @ParameterizedTest
    @CsvSource({"2,1", "13,3", "95,5", "300,5", "300,9"})
    void should_tell_every_node_what_the_others_have_in_flight(int nodes, int dataCentres) {
        // GIVEN
        DigestFleet fleet = new DigestFleet(nodes, dataCentres, 1);
        int number = 0;
        for (DigestFleet.Node node : fleet.nodes()) {
            node.mInFlight.put(ENDPOINT, number++ % 4);
        }

        // WHEN
        fleet.run(SETTLED);

        // THEN
        assertThat(fleet.nodes())
                .allSatisfy(
                        node ->
                                assertThat(node.mDigests.inFlightOfOthers(ENDPOINT))
                                        .isEqualTo(fleet.inFlightOfOthers(node, ENDPOINT)));
    }

    @ParameterizedTest
    @CsvSource({"30,3", "95,5", "300,5", "1000,9"})
    void should_send_messages_that_grow_linearly_with_the_nodes(int nodes, int dataCentres) {
        // GIVEN
        DigestFleet fleet = new DigestFleet(nodes, dataCentres, 1);
        fleet.nodes().forEach(node -> node.mInFlight.put(ENDPOINT, 1));
        fleet.run(SETTLED);
        fleet.resetMessages();

        // WHEN
        fleet.run(INTERVAL.multipliedBy(10));

        // THEN each message counts at its sender and at its receiver
        int perInterval = 2 * (2 * nodes + 2 * dataCentres * dataCentres);
        assertThat(fleet.totalMessages()).isLessThanOrEqualTo(11 * perInterval);
        int busiest = 2 * (nodes / dataCentres + 1) + 4 * dataCentres;
        assertThat(fleet.messagesOfTheBusiest()).isLessThanOrEqualTo(11 * busiest);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void should_replace_a_frozen_collector_before_loads_are_too_old(long seed) {
        // GIVEN
        DigestFleet fleet = new DigestFleet(95, 5, seed);
        fleet.nodes().forEach(node -> node.mInFlight.put(ENDPOINT, 1));
        fleet.run(SETTLED);
        NodeName collector = collectorOf(fleet);
        fleet.freeze(collector);

        // WHEN
        fleet.run(Duration.ofMillis(1_400));

        // THEN
        List<DigestFleet.Node> running = running(fleet, collector);
        assertThat(running)
                .allSatisfy(node -> assertThat(node.mDigests.ageMilliseconds()).isLessThan(1_500));

        // WHEN the reports to the former collector no longer count
        fleet.run(SETTLED);

        // THEN
        assertThat(running)
                .allSatisfy(
                        node ->
                                assertThat(node.mDigests.inFlightOfOthers(ENDPOINT))
                                        .isBetween(93 - 2, 93 + 19));
    }

    @Test
    void should_ignore_the_digests_of_a_collector_that_was_frozen() {
        // GIVEN a collector that froze while its nodes were busy
        DigestFleet fleet = new DigestFleet(40, 2, 7);
        fleet.nodes().forEach(node -> node.mInFlight.put(ENDPOINT, 5));
        fleet.run(SETTLED);
        NodeName collector = collectorOf(fleet);
        fleet.freeze(collector);
        fleet.run(Duration.ofSeconds(2));
        fleet.nodes().forEach(node -> node.mInFlight.clear());
        fleet.run(Duration.ofSeconds(2));

        // WHEN
        fleet.thaw(collector);
        fleet.run(Duration.ofMillis(60));

        // THEN
        assertThat(running(fleet, collector))
                .filteredOn(node -> node.mDataCentre.equals(fleet.node(collector).mDataCentre))
                .allSatisfy(node -> assertThat(node.mDigests.inFlightOfOthers(ENDPOINT)).isZero());
    }

    @Test
    void should_keep_telling_the_nodes_of_a_data_centre_that_is_cut_off_of_each_other() {
        // GIVEN
        DigestFleet fleet = new DigestFleet(40, 4, 3);
        fleet.nodes().forEach(node -> node.mInFlight.put(ENDPOINT, 2));
        fleet.run(SETTLED);
        DigestFleet.Node inside = fleet.nodes().get(0);

        // WHEN
        fleet.cutOff(inside.mDataCentre);
        fleet.run(SETTLED);

        // THEN
        assertThat(inside.mDigests.inFlightOfOthers(ENDPOINT)).isEqualTo(9 * 2);
        assertThat(fleet.nodes())
                .filteredOn(node -> !node.mDataCentre.equals(inside.mDataCentre))
                .allSatisfy(
                        node ->
                                assertThat(node.mDigests.inFlightOfOthers(ENDPOINT))
                                        .isEqualTo(29 * 2));
    }

    @Test
    void should_keep_loads_fresh_while_messages_are_lost() {
        // GIVEN
        DigestFleet fleet = new DigestFleet(95, 5, 11);
        fleet.nodes().forEach(node -> node.mInFlight.put(ENDPOINT, 1));
        fleet.lose(0.05);

        // WHEN
        fleet.run(Duration.ofSeconds(20));

        // THEN
        assertThat(fleet.nodes())
                .allSatisfy(
                        node -> {
                            assertThat(node.mDigests.ageMilliseconds()).isLessThan(1_500);
                            assertThat(node.mDigests.inFlightOfOthers(ENDPOINT))
                                    .isCloseTo(94, within(19));
                        });
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 23, 24, 25, 100})
    void should_bring_the_demand_of_all_nodes_to_the_holder_of_the_orders(int models) {
        // GIVEN
        DigestFleet fleet = new DigestFleet(60, 4, 5);
        DigestFleet.Node reader = fleet.nodes().get(17);
        fleet.demandReader(reader.mName);
        for (DigestFleet.Node node : fleet.nodes()) {
            for (int model = 0; model < models; model++) {
                node.mUnderWay.put(MODEL + model, 0.25);
            }
        }

        // WHEN
        fleet.run(SETTLED);

        // THEN
        assertThat(reader.demandOf(MODEL + 0)).isCloseTo(60 * 0.25, within(1e-9));
        assertThat(reader.demandOf(MODEL + (models - 1))).isCloseTo(60 * 0.25, within(1e-9));

        // WHEN all but one model are no longer asked for
        fleet.nodes().forEach(node -> node.mUnderWay.keySet().retainAll(List.of(MODEL + 0)));
        fleet.run(SETTLED);

        // THEN
        assertThat(reader.demandOf(MODEL + 0)).isCloseTo(60 * 0.25, within(1e-9));
        assertThat(reader.demandOf(MODEL + (models - 1))).isLessThan(models == 1 ? 16 : 1e-9);
    }

    @Test
    void should_tell_all_nodes_the_holder_of_a_duty_with_the_highest_fencing_number() {
        // GIVEN
        DigestFleet fleet = new DigestFleet(60, 4, 5);
        fleet.nodes().get(3).mHeld.put(DigestFleet.ORDERS, 7L);
        fleet.nodes().get(40).mHeld.put(DigestFleet.ORDERS, 9L);

        // WHEN
        fleet.run(SETTLED);

        // THEN
        assertThat(fleet.nodes())
                .allSatisfy(
                        node ->
                                assertThat(node.mHolders)
                                        .containsEntry(
                                                DigestFleet.ORDERS, fleet.nodes().get(40).mName));
    }

    @ParameterizedTest
    @CsvSource({"13,3", "95,5"})
    void should_tell_all_nodes_what_an_engine_holds(int nodes, int dataCentres) {
        // GIVEN
        DigestFleet fleet = new DigestFleet(nodes, dataCentres, 2);
        fleet.run(SETTLED);
        DigestFleet.Node holder = fleet.nodes().get(nodes / 2);
        AdapterResidence residence = AdapterResidence.newBuilder().setEndpoint(ENDPOINT).build();

        // WHEN
        holder.mDigests.sendResidences(List.of(residence));
        fleet.run(Duration.ofMillis(60));

        // THEN
        assertThat(running(fleet, holder.mName))
                .allSatisfy(node -> assertThat(node.mResidences).containsExactly(residence));
    }

    @Test
    void should_tell_all_nodes_but_collectors_how_far_their_collector_has_read() {
        // GIVEN
        DigestFleet fleet = new DigestFleet(60, 4, 5);
        fleet.nodes().forEach(node -> node.mOffset = 12);

        // WHEN
        fleet.run(SETTLED);

        // THEN
        assertThat(fleet.nodes())
                .filteredOn(node -> node.mDigests.reporters().isEmpty())
                .hasSize(60 - 4)
                .allSatisfy(node -> assertThat(node.mToldOffset).isEqualTo(12));
    }

    @Test
    void should_survive_malformed_messages() {
        // GIVEN
        DigestFleet fleet = new DigestFleet(3, 1, 1);
        fleet.run(SETTLED);
        DigestFleet.Node node = fleet.nodes().get(0);
        NodeName stranger = NodeName.of("stranger");
        EndpointSums uneven =
                EndpointSums.newBuilder().addEndpoints(1).addEndpoints(2).addInFlight(-5).build();
        DutyHolder unnamed = DutyHolder.newBuilder().setPartition(1).setNode("\n").build();

        // WHEN
        for (DigestMessage message :
                List.of(
                        DigestMessage.getDefaultInstance(),
                        DigestMessage.newBuilder()
                                .setReport(NodeReport.newBuilder().addHeld(unnamed))
                                .build(),
                        DigestMessage.newBuilder()
                                .setCentre(CentreDigest.newBuilder().setDataCentre(" "))
                                .build(),
                        DigestMessage.newBuilder()
                                .setCentre(
                                        CentreDigest.newBuilder()
                                                .setDataCentre("other")
                                                .setLoads(uneven))
                                .build(),
                        DigestMessage.newBuilder()
                                .setFleet(
                                        FleetDigest.newBuilder()
                                                .setState(ByteString.copyFromUtf8("not a state")))
                                .build())) {
            node.mDigests.onMessage(stranger, message);
            fleet.nodes().get(1).mDigests.onMessage(node.mName, message);
        }
        fleet.run(SETTLED);

        // THEN
        assertThat(node.mDigests.inFlightOfOthers(ENDPOINT)).isZero();
        assertThat(node.mHolders).isEmpty();
    }

    private static NodeName collectorOf(DigestFleet fleet) {
        return fleet.nodes().stream()
                .filter(node -> !node.mDigests.reporters().isEmpty())
                .findFirst()
                .orElseThrow()
                .mName;
    }

    private static List<DigestFleet.Node> running(DigestFleet fleet, NodeName except) {
        return fleet.nodes().stream().filter(node -> !node.mName.equals(except)).toList();
    }
}
