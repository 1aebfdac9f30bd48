package org.foxtailridge.routing.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.ExpectedTimeRouter;
import org.foxtailridge.routing.Fleets;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.RoutingSettings;
import org.junit.jupiter.api.Test;

/** Checks order, preemption, early refusal and bounds over one endpoint of known size. */
class RequestSchedulerTest implements SchedulerOutbox {
    private static final EndpointName ENGINE = EndpointName.of("engine");

    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<Attempt> mSent = new ArrayList<>();
    private final Map<String, ErrorKind> mRefused = new HashMap<>();
    private final Map<String, Integer> mRetryAfter = new HashMap<>();
    private final List<String> mPreempted = new ArrayList<>();
    private final RequestScheduler mScheduler =
            RequestScheduler.builder(
                            mClock,
                            ExpectedTimeRouter.create(
                                    mClock, RoutingSettings.builder("lautoka-a").build(), 1),
                            this)
                    .settings(QueueSettings.builder().maximumPerTarget(8).build())
                    .build();

    @Test
    void should_leave_room_for_interactive_work() {
        // GIVEN
        endpointOf(4);
        // WHEN
        submit("batch", WorkClass.DUE_BY, "a", 10);
        submit("talk", WorkClass.INTERACTIVE, "a", 1);
        // THEN
        assertThat(sent()).contains("talk-0").hasSize(4);
    }

    @Test
    void should_preempt_batch_work_before_interactive_work_waits_long() {
        // GIVEN
        endpointOf(4);
        submit("batch", WorkClass.DUE_BY, "a", 3);
        submit("must", WorkClass.MUST_COMPLETE, "a", 1);
        mSent.forEach(attempt -> mScheduler.firstTokenArrived(attempt.attemptId()));
        submit("talk", WorkClass.INTERACTIVE, "a", 3);
        // WHEN
        tick(149);
        assertThat(mPreempted).isEmpty();
        tick(1);
        // THEN
        assertThat(mPreempted).containsExactly("batch-2");
        // WHEN
        Attempt cancelled = attemptOf("batch-2");
        mScheduler.attemptEnded(cancelled.attemptId(), AttemptOutcome.CANCELLED, 5);
        mScheduler.submit(cancelled.request().afterPreemption(5));
        // THEN
        assertThat(sent().get(sent().size() - 1)).startsWith("talk");
        // WHEN
        endAll();
        // THEN
        assertThat(attemptOf("batch-2").request().mayHaveBegun()).isTrue();
        assertThat(attemptOf("batch-2").request().promptTokens()).isEqualTo(105);
    }

    @Test
    void should_serve_first_what_can_still_be_answered_in_time() {
        // GIVEN
        endpointOf(1);
        submit("talk", WorkClass.INTERACTIVE, "a", 3);
        tick(400);
        // WHEN
        submit("fresh", WorkClass.INTERACTIVE, "a", 1);
        end("talk-0");
        end("fresh-0");
        // THEN
        assertThat(sent()).containsExactly("talk-0", "fresh-0", "talk-1");
    }

    @Test
    void should_refuse_early_what_cannot_start_in_time() {
        // GIVEN
        endpointOf(1);
        submit("talk", WorkClass.INTERACTIVE, "a", 5);
        for (int served = 0; served < 2; served++) {
            tick(1_000);
            end(sent().get(sent().size() - 1));
        }
        // WHEN
        RouteRequest hasty =
                Fleets.request("hasty", "lots")
                        .clientAccount("a")
                        .deadline(mClock.instant().plusMillis(500))
                        .build();
        mScheduler.submit(hasty);
        // THEN
        assertThat(mRefused).containsOnly(Map.entry("hasty", ErrorKind.DEADLINE_UNREACHABLE));
        assertThat(mRetryAfter.get("hasty")).isBetween(1, 10);
    }

    @Test
    void should_drop_the_newest_request_of_the_account_that_fills_the_queue() {
        // GIVEN
        endpointOf(1);
        submit("flood", WorkClass.INTERACTIVE, "a", 9);
        // WHEN
        submit("small", WorkClass.INTERACTIVE, "b", 1);
        // THEN
        assertThat(mRefused).containsOnly(Map.entry("flood-8", ErrorKind.OVERLOADED));
        // WHEN
        end("flood-0");
        // THEN
        assertThat(sent()).containsExactly("flood-0", "small-0");
    }

    @Test
    void should_give_an_account_its_share_beside_one_that_sends_much_more() {
        // GIVEN
        endpointOf(1);
        // WHEN
        submit("flood", WorkClass.INTERACTIVE, "a", 5);
        submit("steady", WorkClass.INTERACTIVE, "b", 3);
        for (int served = 0; served < 6; served++) {
            end(sent().get(sent().size() - 1));
        }
        // THEN
        assertThat(sent().subList(1, 7)).filteredOn(id -> id.startsWith("steady")).hasSize(3);
    }

    @Test
    void should_count_no_more_an_attempt_whose_end_is_never_told() {
        // GIVEN
        endpointOf(1);
        submit("lost", WorkClass.INTERACTIVE, "a", 1);
        // WHEN
        tick(3_599_999);
        assertThat(mScheduler.isIdle()).isFalse();
        tick(1);
        // THEN
        assertThat(mScheduler.isIdle()).isTrue();
    }

    private void endpointOf(int size) {
        mScheduler.configure(
                Configuration.builder().put(Fleets.engine("engine", "pool", "lautoka-a")).build());
        mScheduler.loadReported(ENGINE, Fleets.report(1, 0, size - 1, size + 2, List.of("lots")));
        mScheduler.loadReported(ENGINE, Fleets.report(1, 1, 0, 0, List.of("lots")));
    }

    private void submit(String name, WorkClass workClass, String account, int count) {
        for (int index = 0; index < count; index++) {
            mScheduler.submit(
                    Fleets.request(name + "-" + index, "lots")
                            .clientAccount(account)
                            .workClass(workClass)
                            .build());
        }
    }

    private void tick(long milliseconds) {
        mClock.advance(Duration.ofMillis(milliseconds));
        mScheduler.tick();
    }

    private void end(String requestId) {
        mScheduler.attemptEnded(attemptOf(requestId).attemptId(), AttemptOutcome.FINISHED, 20);
    }

    private void endAll() {
        for (int index = 0; index < mSent.size(); index++) {
            mScheduler.attemptEnded(mSent.get(index).attemptId(), AttemptOutcome.FINISHED, 20);
        }
    }

    private Attempt attemptOf(String requestId) {
        return mSent.stream()
                .filter(attempt -> attempt.request().requestId().equals(requestId))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private List<String> sent() {
        return mSent.stream().map(attempt -> attempt.request().requestId()).toList();
    }

    @Override
    public void dispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
        mSent.add(attempt);
    }

    @Override
    public void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds) {
        mRefused.put(request.requestId(), kind);
        mRetryAfter.put(request.requestId(), retryAfterSeconds);
    }

    @Override
    public void preempt(Attempt attempt) {
        mPreempted.add(attempt.request().requestId());
    }
}
