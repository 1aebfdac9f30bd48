package org.foxtailridge.configuration.fold;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.assertj.core.api.InstanceOfAssertFactories;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;
import org.foxtailridge.configuration.record.OutcomeStatus;
import org.foxtailridge.configuration.record.RecordCodec;
import org.foxtailridge.configuration.record.Snapshot;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks what single records do to the fold. */
class ConfigurationFoldTest {
    private static final EntryKey GOLD = new EntryKey(EntryKind.PLAN, "gold");

    private final ConfigurationFold mFold = ConfigurationFold.create();

    private EditOutcome apply(Edit edit) {
        return applyPayload(RecordCodec.write(edit)).outcome().orElseThrow();
    }

    private FoldResult applyPayload(String payload) {
        return mFold.apply(mFold.state().offset() + 1, payload);
    }

    private static Edit rate(String id, long rate, long base) {
        Plan plan = Plan.builder("gold").rateTokensPerSecond(rate).build();
        return new Edit(id, "ana", List.of(Change.set(plan, base)));
    }

    @Test
    void should_bring_an_edit_into_force_at_its_offset() {
        // WHEN
        EditOutcome outcome = apply(rate("e1", 5, -1));
        // THEN
        assertThat(outcome).isEqualTo(EditOutcome.inForce("e1", 0));
        assertThat(mFold.state().versionOf(GOLD)).isZero();
        assertThat(mFold.state().configuration().find(Plan.class, "gold")).isPresent();
    }

    @Test
    void should_let_the_first_of_two_racing_edits_win_and_tell_the_second() {
        // GIVEN
        apply(rate("e1", 5, -1));
        apply(rate("e2", 6, 0));
        // WHEN
        EditOutcome outcome = apply(rate("e3", 7, 0));
        // THEN
        assertThat(outcome.status()).isEqualTo(OutcomeStatus.LOST);
        assertThat(outcome.failure().orElseThrow())
                .hasMessageContaining("plan gold: expected version 0 but was 1")
                .extracting(FoxtailridgeException::kind)
                .isEqualTo(ErrorKind.EDIT_CONFLICT);
        assertThat(mFold.state().offset()).isEqualTo(2);
    }

    @Test
    void should_apply_nothing_of_an_edit_with_one_invalid_change() {
        // GIVEN
        Edit edit =
                new Edit(
                        "e1",
                        "ana",
                        List.of(
                                Change.set(Plan.builder("gold").build(), -1),
                                Change.set(new ClientAccount("harbour", "silver"), -1)));
        // WHEN
        EditOutcome outcome = apply(edit);
        // THEN
        assertThat(outcome.status()).isEqualTo(OutcomeStatus.REFUSED);
        assertThat(outcome.reasons()).singleElement().asString().contains("\"silver\"");
        assertThat(mFold.state().configuration().entries(EntryKind.PLAN)).isEmpty();
    }

    @Test
    void should_not_apply_a_second_copy_of_an_edit() {
        // GIVEN
        Edit create = rate("e1", 5, -1);
        apply(create);
        apply(new Edit("e2", "ana", List.of(Change.remove(GOLD, 0))));
        // WHEN
        FoldResult result = applyPayload(RecordCodec.write(create));
        // THEN
        assertThat(result.outcome()).isEmpty();
        assertThat(mFold.state().versionOf(GOLD)).isEqualTo(Change.NO_VERSION);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "nonsense",
                "[]",
                "{\"format\":1}",
                "{\"format\":1,\"id\":\"x\",\"type\":\"other\"}",
                "{\"format\":0,\"id\":\"x\",\"type\":\"edit\"}",
                "{\"format\":1,\"id\":\"x\",\"type\":\"edit\",\"changes\":[]}",
                "{\"format\":1,\"id\":\"x\",\"type\":\"edit\",\"changes\":[{\"kind\":\"plan\","
                        + "\"name\":\"p\",\"base\":-1}]}",
                "{\"format\":1,\"id\":\"x\",\"type\":\"edit\",\"changes\":[{\"kind\":\"plan\","
                        + "\"name\":\"p\",\"base\":-1,\"value\":{\"name\":\"q\"}}]}",
                "{\"format\":1,\"id\":\"x\",\"type\":\"edit\",\"changes\":[{\"kind\":\"plan\","
                        + "\"name\":\"p\",\"base\":-1,\"value\":{}}]}",
                "{\"format\":1,\"id\":\"x\",\"type\":\"snapshot\",\"covered_offset\":3,"
                        + "\"replaces\":true,\"state\":\"AAAA\"}",
            })
    void should_refuse_an_unreadable_record_and_go_on(String payload) {
        // WHEN
        EditOutcome outcome = applyPayload(payload).outcome().orElseThrow();
        // THEN
        assertThat(outcome.status()).isEqualTo(OutcomeStatus.REFUSED);
        assertThat(apply(rate("e1", 5, -1)).status()).isEqualTo(OutcomeStatus.IN_FORCE);
    }

    @Test
    void should_stop_at_a_newer_format_and_keep_its_state() {
        // GIVEN
        apply(rate("e1", 5, -1));
        ConfigurationState before = mFold.state();
        // THEN
        assertThatThrownBy(() -> applyPayload("{\"format\":2,\"id\":\"x\",\"type\":\"edit\"}"))
                .hasMessageContaining("expected a record of format 1 or lower but was 2")
                .asInstanceOf(InstanceOfAssertFactories.type(FoxtailridgeException.class))
                .extracting(FoxtailridgeException::kind)
                .isEqualTo(ErrorKind.INCOMPATIBLE_VERSION);
        assertThat(mFold.state()).isSameAs(before);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 2})
    void should_refuse_a_record_out_of_turn(long offset) {
        // GIVEN
        apply(rate("e1", 5, -1));
        // THEN
        assertThatThrownBy(() -> mFold.apply(offset, RecordCodec.write(rate("e2", 6, 0))))
                .isInstanceOf(OffsetGapException.class)
                .hasMessageContaining("expected the record at offset 1 but was " + offset);
    }

    @Test
    void should_pass_over_a_snapshot_and_continue_from_one_alike() {
        // GIVEN
        apply(rate("e1", 5, -1));
        String payload = RecordCodec.write(mFold.state().toSnapshot("s1"));
        ConfigurationFold other =
                ConfigurationFold.from(ConfigurationState.of((Snapshot) RecordCodec.read(payload)));
        assertThat(other.state()).isEqualTo(mFold.state());
        // WHEN
        applyPayload(payload);
        other.apply(1, payload);
        // THEN
        assertThat(other.state()).isEqualTo(mFold.state());
        assertThat(mFold.state().versionOf(GOLD)).isZero();
    }

    @Test
    void should_take_over_a_snapshot_that_replaces() {
        // GIVEN
        apply(rate("e1", 5, -1));
        Snapshot empty = new Snapshot("s1", 0, true, List.of(), List.of());
        // WHEN
        applyPayload(RecordCodec.write(empty));
        // THEN
        assertThat(mFold.state().offset()).isEqualTo(1);
        assertThat(mFold.state().configuration().entries(EntryKind.PLAN)).isEmpty();
    }
}
