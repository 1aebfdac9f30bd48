package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.foxtailridge.endtoend.harness.AnswerFraming;
import org.foxtailridge.endtoend.harness.RawCaller;
import org.foxtailridge.endtoend.harness.RawStreamFleet;
import org.foxtailridge.endtoend.harness.ReceivedStream;
import org.foxtailridge.endtoend.harness.ScriptedStream;
import org.foxtailridge.endtoend.harness.StreamFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Streams of workers that are killed, break off or write too much, as callers receive them. */
class StreamOrderTest {
    private static final String NAME = "{0}, {1}, {2}";
    private static final int WORKERS = 2;
    private static final int NEXT_STREAMS = 4;
    private static final Set<AnswerFraming> FRAMED =
            EnumSet.of(AnswerFraming.CHUNKED, AnswerFraming.LENGTH);
    private static final Set<AnswerFraming> UNFRAMED = EnumSet.of(AnswerFraming.UNFRAMED);
    private static final Set<AnswerFraming> ALL = EnumSet.allOf(AnswerFraming.class);

    private static RawStreamFleet sFleet;

    private String mBody;

    @BeforeAll
    static void start() throws IOException {
        sFleet = RawStreamFleet.start();
    }

    @AfterAll
    static void stop() throws IOException {
        sFleet.close();
    }

    @BeforeEach
    void prepare() {
        sFleet.prepare(WORKERS);
        mBody = sFleet.newBody();
    }

    // Guards against streams that end as complete though their worker broke them off.
    @ParameterizedTest(name = NAME)
    @MethodSource("streamsBrokenOffInPlainSight")
    void should_not_complete_a_stream_that_its_worker_broke_off(
            StreamFault fault, AnswerFraming framing, String target) {
        // WHEN
        ReceivedStream stream = receive(fault, framing, target);
        // THEN
        RawStreamFleet.assertOrder(stream, events());
    }

    static Stream<Arguments> streamsBrokenOffInPlainSight() {
        return Stream.concat(
                cases(FRAMED, StreamFault.KILLED_BETWEEN_EVENTS, StreamFault.CLOSED_BETWEEN_EVENTS),
                cases(
                        ALL,
                        StreamFault.KILLED_INSIDE_HEAD,
                        StreamFault.KILLED_BEHIND_HEAD,
                        StreamFault.KILLED_INSIDE_EVENT,
                        StreamFault.CLOSED_INSIDE_EVENT,
                        StreamFault.RESET_BETWEEN_EVENTS,
                        StreamFault.RESET_INSIDE_EVENT,
                        StreamFault.RESET_BEHIND_COMMENT));
    }

    // Guards against an unframed stream that ends as complete when the system closes the sockets
    // of its killed worker.
    @ParameterizedTest(name = NAME)
    @MethodSource("unframedStreamsThatEndBetweenEvents")
    void should_not_take_the_end_of_a_connection_for_the_end_of_a_stream(
            StreamFault fault, AnswerFraming framing, String target) {
        // WHEN
        ReceivedStream stream = receive(fault, framing, target);
        // THEN
        RawStreamFleet.assertOrder(stream, events());
    }

    static Stream<Arguments> unframedStreamsThatEndBetweenEvents() {
        return cases(UNFRAMED, StreamFault.KILLED_BETWEEN_EVENTS);
    }

    // Guards against an unframed stream that ends as complete when its worker gives it up.
    @ParameterizedTest(name = NAME)
    @MethodSource("unframedStreamsThatAreGivenUp")
    void should_not_complete_an_unframed_stream_that_its_worker_gave_up(
            StreamFault fault, AnswerFraming framing, String target) {
        // WHEN
        ReceivedStream stream = receive(fault, framing, target);
        // THEN
        RawStreamFleet.assertOrder(stream, events());
    }

    static Stream<Arguments> unframedStreamsThatAreGivenUp() {
        return cases(UNFRAMED, StreamFault.CLOSED_BETWEEN_EVENTS);
    }

    // Guards against sound streams that are broken off for want of length and chunks.
    @ParameterizedTest(name = NAME)
    @MethodSource("soundUnframedStreams")
    void should_complete_an_unframed_stream_that_its_worker_ends(
            StreamFault none, AnswerFraming framing, String target) {
        // WHEN
        ReceivedStream stream = receive(none, framing, target);
        // THEN
        assertThat(stream.complete()).isTrue();
        assertThat(stream.events()).isEqualTo(events());
    }

    static Stream<Arguments> soundUnframedStreams() {
        return cases(UNFRAMED, StreamFault.NONE);
    }

    // Guards against events that come twice or behind later ones.
    @ParameterizedTest(name = NAME)
    @MethodSource("streamsWhoseNumbersDoNotIncrease")
    void should_not_pass_on_events_whose_numbers_do_not_increase(
            StreamFault fault, AnswerFraming framing, String target) {
        // WHEN
        ReceivedStream stream = receive(fault, framing, target);
        // THEN
        RawStreamFleet.assertOrder(stream, events());
    }

    static Stream<Arguments> streamsWhoseNumbersDoNotIncrease() {
        return cases(
                ALL,
                StreamFault.REPEATS_EVENT,
                StreamFault.REPEATS_LAST_EVENT,
                StreamFault.GOES_BACK);
    }

    // Guards against a resumed stream whose worker begins with the first event again.
    @ParameterizedTest(name = "{0}")
    @EnumSource(AnswerFraming.class)
    void should_not_join_a_stream_that_starts_over(AnswerFraming framing) {
        // WHEN
        ReceivedStream stream = receive(StreamFault.STARTS_OVER, framing, RawStreamFleet.RESUMABLE);
        // THEN
        assertThat(sFleet.workers().attempts(mBody)).isEqualTo(2);
        RawStreamFleet.assertOrder(stream, events());
    }

    // Guards against a caller that comes back behind its last event and gets the first ones again.
    @ParameterizedTest(name = "{0}")
    @EnumSource(AnswerFraming.class)
    void should_not_start_over_for_a_caller_that_names_its_last_event(AnswerFraming framing) {
        // GIVEN
        sFleet.workers().setScript(answer -> StreamFault.STARTS_OVER.play(answer, framing, 0));
        int received = StreamFault.LAST / 2;
        // WHEN
        ReceivedStream stream =
                RawCaller.of(sFleet.node(0), RawStreamFleet.RESUMABLE, mBody)
                        .resumeAfter(received)
                        .call()
                        .join();
        // THEN
        RawStreamFleet.assertOrder(stream, events().subList(received, StreamFault.LAST));
    }

    // Guards against a retry that repeats an event which the caller can't name to go on behind it.
    @ParameterizedTest(name = "{0}")
    @EnumSource(AnswerFraming.class)
    void should_not_repeat_an_event_without_an_id(AnswerFraming framing) {
        // GIVEN
        List<String> events = new ArrayList<>(List.of(StreamFault.OPENING));
        events.addAll(events());
        // WHEN
        ReceivedStream stream =
                receive(
                        StreamFault.RESET_BEHIND_EVENT_WITHOUT_ID,
                        framing,
                        RawStreamFleet.RESUMABLE);
        // THEN
        RawStreamFleet.assertOrder(stream, events);
    }

    // Guards against a copy of an answer that is passed on behind it, or to the next caller.
    @ParameterizedTest(name = NAME)
    @MethodSource("secondAnswersBehindFramedOnes")
    void should_not_pass_on_a_second_answer_behind_a_framed_one(
            StreamFault fault, AnswerFraming framing, String target) {
        assertSecondAnswerIsKept(fault, framing, target);
    }

    static Stream<Arguments> secondAnswersBehindFramedOnes() {
        return cases(FRAMED, StreamFault.SECOND_ANSWER, StreamFault.LATE_SECOND_ANSWER);
    }

    // Guards against head and events of a copy that are taken for the body of the first answer.
    @ParameterizedTest(name = NAME)
    @MethodSource("secondAnswersBehindUnframedOnes")
    void should_not_pass_on_a_second_answer_behind_an_unframed_one(
            StreamFault fault, AnswerFraming framing, String target) {
        assertSecondAnswerIsKept(fault, framing, target);
    }

    static Stream<Arguments> secondAnswersBehindUnframedOnes() {
        return cases(UNFRAMED, StreamFault.SECOND_ANSWER, StreamFault.LATE_SECOND_ANSWER);
    }

    @ParameterizedTest(name = NAME)
    @MethodSource("soundStreams")
    void should_complete_a_sound_stream(StreamFault none, AnswerFraming framing, String target) {
        // WHEN
        ReceivedStream stream = receive(none, framing, target);
        // THEN
        assertThat(stream.complete()).isTrue();
        assertThat(stream.events()).isEqualTo(events());
    }

    static Stream<Arguments> soundStreams() {
        return cases(FRAMED, StreamFault.NONE);
    }

    private void assertSecondAnswerIsKept(StreamFault fault, AnswerFraming framing, String target) {
        // WHEN
        ReceivedStream stream = receive(fault, framing, target);
        // THEN
        RawStreamFleet.assertOrder(stream, events());
        for (int number = 0; number < NEXT_STREAMS; number++) {
            mBody = sFleet.newBody();
            RawStreamFleet.assertOrder(receive(StreamFault.NONE, framing, target), events());
        }
    }

    private ReceivedStream receive(StreamFault fault, AnswerFraming framing, String target) {
        sFleet.workers().setScript(fault.script(framing));
        return RawCaller.of(sFleet.node(0), target, mBody).call().join();
    }

    private List<String> events() {
        return ScriptedStream.events(mBody, StreamFault.LAST, 0);
    }

    private static Stream<Arguments> cases(Set<AnswerFraming> framings, StreamFault... faults) {
        List<Arguments> cases = new ArrayList<>();
        for (StreamFault fault : faults) {
            for (AnswerFraming framing : framings) {
                cases.add(Arguments.of(fault, framing, RawStreamFleet.RESUMABLE));
                cases.add(Arguments.of(fault, framing, RawStreamFleet.NOT_RESUMABLE));
            }
        }
        return cases.stream();
    }
}
