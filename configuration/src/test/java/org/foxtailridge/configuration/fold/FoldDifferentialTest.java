package org.foxtailridge.configuration.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.OutcomeStatus;
import org.foxtailridge.configuration.record.RecordCodec;
import org.foxtailridge.configuration.record.Snapshot;
import org.junit.jupiter.api.Test;

/** Compares racing operators on the fold with a naive map guarded by one lock. */
class FoldDifferentialTest {
    private static final int STEPS = 25;

    @Property(tries = 10_000, seed = "4101")
    void should_agree_with_a_map_that_compares_and_sets(@ForAll long seed) {
        assertThat(runRace(seed, false)).isEmpty();
    }

    @Test
    void should_catch_a_rule_that_takes_the_last_writer() {
        List<String> differences = new ArrayList<>();
        for (long seed = 0; seed < 50; seed++) {
            differences.addAll(runRace(seed, true));
        }
        assertThat(differences).isNotEmpty();
    }

    /** Operators edit with views of different ages; a second reader joins from a snapshot. */
    private static List<String> runRace(long seed, boolean lastWriterWins) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        ConfigurationFold fold = ConfigurationFold.create();
        ConfigurationFold joined = ConfigurationFold.create();
        List<ConfigurationState> views = new ArrayList<>(List.of(fold.state()));
        Map<String, Long> naiveRates = new HashMap<>();
        Map<String, Long> naiveVersions = new HashMap<>();
        List<String> differences = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            String name = "plan" + random.nextInt(3);
            ConfigurationState view = views.get(random.nextInt(views.size()));
            Plan wanted = Plan.builder(name).rateTokensPerSecond(random.nextInt(4)).build();
            boolean removes = random.nextInt(4) == 0;
            long seen = view.versionOf(EntryKey.of(wanted));
            long actual = naiveVersions.getOrDefault(name, -1L);
            long base = lastWriterWins ? fold.state().versionOf(EntryKey.of(wanted)) : seen;
            Change change =
                    removes ? Change.remove(EntryKey.of(wanted), base) : Change.set(wanted, base);
            String payload = RecordCodec.write(new Edit("e" + step, "ana", List.of(change)));
            OutcomeStatus status = fold.apply(step, payload).outcome().orElseThrow().status();
            joined.apply(step, payload);
            OutcomeStatus expected = OutcomeStatus.IN_FORCE;
            if (seen != actual) {
                expected = OutcomeStatus.LOST;
            } else if (!removes && wanted.rateTokensPerSecond() == 0) {
                expected = OutcomeStatus.REFUSED;
            } else if (removes) {
                naiveRates.remove(name);
                naiveVersions.remove(name);
            } else {
                naiveRates.put(name, wanted.rateTokensPerSecond());
                naiveVersions.put(name, (long) step);
            }
            if (status != expected || !naiveRates.equals(rates(fold.state()))) {
                differences.add("step " + step + ": " + status + " but expected " + expected);
            }
            views.add(fold.state());
            if (random.nextInt(6) == 0) {
                String snapshot = RecordCodec.write(joined.state().toSnapshot("s" + step));
                joined =
                        ConfigurationFold.from(
                                ConfigurationState.of((Snapshot) RecordCodec.read(snapshot)));
            }
        }
        if (!joined.state().equals(fold.state())) {
            differences.add("the reader that joined from a snapshot differs");
        }
        return differences;
    }

    private static Map<String, Long> rates(ConfigurationState state) {
        Map<String, Long> rates = new HashMap<>();
        for (Plan plan : state.configuration().all(Plan.class)) {
            rates.put(plan.name(), plan.rateTokensPerSecond());
        }
        return rates;
    }
}
