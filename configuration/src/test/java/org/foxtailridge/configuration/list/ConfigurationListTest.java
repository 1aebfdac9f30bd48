package org.foxtailridge.configuration.list;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.InstanceOfAssertFactories.type;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.key.KeyHashing;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.record.RecordCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks strict reading of list files, their rendering and the edits computed from them. */
class ConfigurationListTest {
    private static final String PLAN =
            "[[plan]]\nname = \"gold\"\nrate_tokens_per_second = 5\nburst_tokens = 9\n";

    @ParameterizedTest
    @EnumSource(ExampleLists.class)
    void should_accept_every_example(ExampleLists example) {
        assertThat(example.read().problems()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(ExampleLists.class)
    void should_read_back_what_it_renders(ExampleLists example) {
        // GIVEN
        Configuration listed = example.read().configuration();
        // WHEN
        String text = ListRenderer.render(listed);
        // THEN
        assertThat(ConfigurationList.read("again", text).configuration()).isEqualTo(listed);
    }

    @ParameterizedTest
    @CsvSource({
        "VITI_STONE, 9, 13, 55, 5",
        "VOZ_QUETZAL, 16, 20, 115, 5",
    })
    void should_list_the_sizes_of_each_site(
            ExampleLists example, int endpoints, int models, int adapters, int accounts) {
        // WHEN
        Configuration listed = example.read().configuration();
        // THEN
        assertThat(listed.entries(EntryKind.ENDPOINT)).hasSize(endpoints);
        assertThat(listed.entries(EntryKind.MODEL)).hasSize(models);
        assertThat(listed.entries(EntryKind.ADAPTER)).hasSize(adapters);
        assertThat(listed.entries(EntryKind.CLIENT_ACCOUNT)).hasSize(accounts);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "burst = 3|plan.burst|unknown key, allowed are name, rate_tokens_per_second",
                "models = 3|plan.models|expected an array of texts but was 3",
                "models = [3]|plan.models|expected an array of texts",
                "maximum_connections = 'x'|plan.maximum_connections|expected a whole number",
                "maximum_connections = 1.5|plan.maximum_connections|expected a whole number",
                "[extra]|extra|unknown table, allowed are [[plan]]",
                "[weight_store]|weight_store.loads_per_second|expected a number but was missing",
            })
    void should_refuse_with_line_key_and_what_is_allowed(String line, String key, String message) {
        assertThatThrownBy(() -> ConfigurationList.read("lists.toml", PLAN + line + "\n"))
                .asInstanceOf(type(ListInvalidException.class))
                .extracting(invalid -> invalid.problems().get(0))
                .satisfies(
                        problem -> {
                            assertThat(problem.toString())
                                    .startsWith("lists.toml:5: " + key + ": ");
                            assertThat(problem.message()).contains(message);
                        });
    }

    @ParameterizedTest
    @CsvSource({"rate_tokens_per_second = 5, rate_tokens_per_second = 0", "gold, 'g ld'"})
    void should_locate_problems_of_entries(String from, String to) {
        // GIVEN
        ConfigurationList list = ConfigurationList.read("a.toml", PLAN.replace(from, to));
        // THEN
        assertThat(list.problems()).extracting(ListProblem::line).containsExactly(1);
        assertThatThrownBy(list::require).isInstanceOf(ListInvalidException.class);
    }

    @Test
    void should_refuse_a_second_entry_of_the_same_name() {
        String text = PLAN + PLAN;
        assertThatThrownBy(() -> ConfigurationList.read("a.toml", text))
                .hasMessageContaining("a.toml:5: plan gold")
                .hasMessageContaining("line 1 has the same");
    }

    @Property(tries = 2_000, seed = "41")
    void should_answer_any_text_with_a_list_or_a_typed_refusal(
            @ForAll @StringLength(max = 60) String text) {
        try {
            ConfigurationList.read("any.toml", PLAN + text);
        } catch (ListInvalidException refused) {
            assertThat(refused.problems()).isNotEmpty();
        }
    }

    @ParameterizedTest
    @EnumSource(ExampleLists.class)
    void should_lead_from_any_state_to_the_list_and_keep_given_keys(ExampleLists example) {
        // GIVEN
        Configuration listed = example.read().configuration();
        Configuration before =
                ExampleLists.QUICKSTART.read().configuration().toBuilder()
                        .put(KeyHashing.entryFor("fr_a_secret", "corner-studio", new byte[16]))
                        .build();
        ConfigurationFold fold = ConfigurationFold.create();
        publish(fold, "first", before);
        // WHEN
        publish(fold, "second", listed);
        // THEN
        Configuration after = fold.state().configuration();
        assertThat(after.entries(EntryKind.KEY))
                .hasSize(example == ExampleLists.QUICKSTART ? 1 : 0);
        assertThat(after.all(Plan.class)).isEqualTo(listed.all(Plan.class));
        assertThat(ListDifference.between(fold.state(), listed).changes()).isEmpty();
    }

    private static void publish(ConfigurationFold fold, String id, Configuration listed) {
        ListDifference.between(fold.state(), listed)
                .toEdit(id, "operator")
                .ifPresent(
                        edit -> {
                            long offset = fold.state().offset() + 1;
                            fold.apply(offset, RecordCodec.write(edit));
                            assertThat(fold.state().outcomeOf(id).orElseThrow().failure())
                                    .isEmpty();
                        });
    }
}
