package org.foxtailridge.configuration.key;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.RecordCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that exactly the keys in force find their client account. */
class KeyIndexTest {
    private final GivenKey mGiven = new KeyGenerator(new Random(7)).give("harbour");
    private final Configuration mConfiguration =
            Configuration.builder()
                    .put(Plan.builder("gold").build())
                    .put(Plan.builder("small").build())
                    .put(new ClientAccount("harbour", "gold"))
                    .put(new ClientAccount("corner", "small"))
                    .put(mGiven.entry())
                    .build();

    @Test
    void should_find_the_account_and_plan_of_a_given_key() {
        // WHEN
        KeyHolder holder = KeyIndex.of(mConfiguration).find(mGiven.key()).orElseThrow();
        // THEN
        assertThat(holder.account().name()).isEqualTo("harbour");
        assertThat(holder.plan().name()).isEqualTo("gold");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "fr_", "fr_nobody_secret", "secret", "fr__", "_", "fr_a"})
    void should_refuse_what_is_not_a_key_in_force(String presented) {
        assertThat(KeyIndex.of(mConfiguration).find(presented)).isEmpty();
    }

    @Property(tries = 1_000, seed = "4103")
    void should_refuse_any_other_text(@ForAll String presented, @ForAll int position) {
        // GIVEN
        KeyIndex index = KeyIndex.of(mConfiguration);
        int changed = Math.floorMod(position, mGiven.key().length());
        StringBuilder altered = new StringBuilder(mGiven.key());
        altered.setCharAt(changed, altered.charAt(changed) == 'x' ? 'y' : 'x');
        // THEN
        assertThat(index.find(presented)).isEmpty();
        assertThat(index.find(altered.toString())).isEmpty();
    }

    @Test
    void should_publish_neither_the_key_nor_its_secret() {
        // GIVEN
        String secret = mGiven.key().substring(mGiven.key().lastIndexOf('_') + 1);
        Edit edit = new Edit("e1", "ana", List.of(Change.set(mGiven.entry(), -1)));
        // THEN
        assertThat(RecordCodec.write(edit)).doesNotContain(secret);
        assertThat(mGiven.toString()).doesNotContain(secret);
        assertThat(mGiven.entry().toString()).doesNotContain(mGiven.entry().hash());
    }

    @Test
    void should_report_withdrawn_keys_and_changed_accounts() {
        // GIVEN
        CallerKey moved =
                new CallerKey(
                        mGiven.entry().name(),
                        "corner",
                        mGiven.entry().salt(),
                        mGiven.entry().hash());
        Configuration withdrawn =
                mConfiguration.toBuilder().remove(EntryKind.KEY, moved.name()).build();
        Configuration otherAccount = mConfiguration.toBuilder().put(moved).build();
        Configuration otherPlan =
                mConfiguration.toBuilder()
                        .put(Plan.builder("small").burstTokens(3).build())
                        .build();
        // THEN
        assertThat(KeyChanges.between(mConfiguration, withdrawn).withdrawnKeys())
                .containsExactly(moved.name());
        assertThat(KeyChanges.between(mConfiguration, otherAccount).withdrawnKeys())
                .containsExactly(moved.name());
        assertThat(KeyChanges.between(mConfiguration, otherPlan).changedAccounts())
                .containsExactly("corner");
        assertThat(KeyChanges.between(withdrawn, mConfiguration).withdrawnKeys()).isEmpty();
        assertThat(KeyIndex.of(withdrawn).find(mGiven.key())).isEmpty();
    }
}
