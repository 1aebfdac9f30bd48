package org.foxtailridge.configuration.publish;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.OutcomeStatus;
import org.foxtailridge.configuration.record.RecordCodec;
import org.junit.jupiter.api.Test;

/** Checks that an edit's outcome is told truthfully when answers of appends are lost. */
class EditPublicationTest {
    private static final Instant START = Instant.EPOCH;

    @Property(tries = 10_000, seed = "4104")
    void should_tell_the_outcome_that_the_log_holds(@ForAll long seed) {
        // GIVEN
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        ConfigurationFold fold = ConfigurationFold.create();
        List<String> late = new ArrayList<>();
        EditPublication publication = new EditPublication(edit("mine", 5), 3);
        Instant now = START;
        // WHEN
        for (int step = 0; step < 40; step++) {
            now = now.plusMillis(10);
            if (random.nextInt(8) == 0) {
                append(fold, RecordCodec.write(edit("other" + step, 7)));
            }
            if (!late.isEmpty() && random.nextInt(4) == 0) {
                append(fold, late.remove(0));
            }
            switch (publication.step()) {
                case APPEND -> send(publication, fold, late, random, now);
                case READ_BACK -> publication.onState(fold.state(), now);
                default -> {}
            }
        }
        while (!late.isEmpty()) {
            append(fold, late.remove(0));
        }
        // THEN
        if (publication.step() == PublicationStep.DONE) {
            assertThat(fold.state().outcomeOf("mine")).isEqualTo(publication.outcome());
        }
        long inForce =
                fold.state().outcomes().stream()
                        .filter(outcome -> outcome.id().equals("mine"))
                        .count();
        assertThat(inForce).isLessThanOrEqualTo(1);
    }

    @Test
    void should_read_back_before_it_appends_again() {
        // GIVEN
        EditPublication publication = new EditPublication(edit("mine", 5), 2);
        publication.onSent();
        publication.onAnswerLost(START);
        // WHEN a state from before the loss shows nothing
        publication.onState(ConfigurationState.empty(), START.minus(Duration.ofSeconds(1)));
        // THEN
        assertThat(publication.step()).isEqualTo(PublicationStep.READ_BACK);
        // WHEN a state from after the loss shows nothing
        publication.onState(ConfigurationState.empty(), START);
        // THEN
        assertThat(publication.step()).isEqualTo(PublicationStep.APPEND);
    }

    @Test
    void should_tell_that_the_edit_lost() {
        // GIVEN
        ConfigurationFold fold = ConfigurationFold.create();
        EditPublication publication = new EditPublication(edit("mine", 5), 1);
        append(fold, RecordCodec.write(edit("other", 6)));
        // WHEN
        publication.onSent();
        publication.onAppended(append(fold, publication.payload()));
        publication.onState(fold.state(), START);
        // THEN
        assertThat(publication.outcome().orElseThrow().status()).isEqualTo(OutcomeStatus.LOST);
    }

    @Test
    void should_catch_a_second_append_under_another_identifier() {
        // GIVEN an append that took effect and whose answer was lost
        ConfigurationFold fold = ConfigurationFold.create();
        append(fold, RecordCodec.write(edit("mine", 5)));
        // WHEN the same change is appended blindly under another identifier
        append(fold, RecordCodec.write(edit("again", 5)));
        // THEN its author would be told that it lost, although it is in force
        assertThat(fold.state().outcomeOf("again").orElseThrow().status())
                .isEqualTo(OutcomeStatus.LOST);
        // WHEN the publication reads back instead
        EditPublication publication = new EditPublication(edit("mine", 5), 1);
        publication.onSent();
        publication.onAnswerLost(START);
        publication.onState(fold.state(), START);
        // THEN
        assertThat(publication.outcome().orElseThrow().status()).isEqualTo(OutcomeStatus.IN_FORCE);
    }

    private static void send(
            EditPublication publication,
            ConfigurationFold fold,
            List<String> late,
            UniformRandomProvider random,
            Instant now) {
        publication.onSent();
        switch (random.nextInt(4)) {
            case 0 -> publication.onAppended(append(fold, publication.payload()));
            case 1 -> {
                append(fold, publication.payload());
                publication.onAnswerLost(now);
            }
            case 2 -> {
                late.add(publication.payload());
                publication.onAnswerLost(now);
            }
            default -> publication.onRefused();
        }
    }

    private static long append(ConfigurationFold fold, String payload) {
        long offset = fold.state().offset() + 1;
        fold.apply(offset, payload);
        return offset;
    }

    private static Edit edit(String id, long rate) {
        Plan plan = Plan.builder("gold").rateTokensPerSecond(rate).build();
        return new Edit(id, "ana", List.of(Change.set(plan, -1)));
    }
}
