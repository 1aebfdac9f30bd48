package org.foxtailridge.placement.memory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.function.Supplier;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.engine.Resident;
import org.foxtailridge.placement.engine.ResidentState;
import org.junit.jupiter.api.Test;

/** Checks what the ledger charges and when it frees; each check is also seen to fail. */
class MemoryLedgerTest {
    private static final Artifact WRITER = Artifact.model("writer", "1");
    private static final Artifact OTHER = Artifact.model("other", "1");

    private static MemoryLedger ledger() {
        return new MemoryLedger(100);
    }

    private static LoadReport report(long incarnation, long asOf, long used, Resident... held) {
        return new LoadReport("e", incarnation, asOf, 100, used, 0, false, List.of(held));
    }

    private static Resident resident(Artifact artifact, long bytes) {
        return new Resident(artifact, bytes, ResidentState.RESIDENT);
    }

    @Test
    void should_keep_a_confirmed_load_charged_when_a_lagging_report_does_not_show_it() {
        checkLaggingReport(MemoryLedgerTest::ledger);
        Supplier<MemoryLedger> mutated =
                () ->
                        new MemoryLedger(100) {
                            @Override
                            public void report(LoadReport report) {
                                super.report(report);
                                confirmUnload(WRITER, report.incarnation());
                            }
                        };
        assertThatThrownBy(() -> checkLaggingReport(mutated)).isInstanceOf(AssertionError.class);
    }

    private static void checkLaggingReport(Supplier<MemoryLedger> ledgers) {
        // GIVEN
        MemoryLedger ledger = ledgers.get();
        ledger.report(report(1, 10, 0));
        ledger.charge("o", WRITER, 40);
        ledger.confirmLoad("o", 1);
        // WHEN
        ledger.report(report(1, 11, 0));
        // THEN
        assertThat(ledger.chargedBytes()).isEqualTo(40);
        ledger.confirmUnload(WRITER, 1);
        assertThat(ledger.chargedBytes()).isZero();
    }

    @Test
    void should_keep_an_order_in_flight_charged_over_a_restart() {
        checkRestart(MemoryLedgerTest::ledger);
        Supplier<MemoryLedger> mutated =
                () ->
                        new MemoryLedger(100) {
                            @Override
                            public void enter(long incarnation) {
                                super.enter(incarnation);
                                discharge("o");
                            }
                        };
        assertThatThrownBy(() -> checkRestart(mutated)).isInstanceOf(AssertionError.class);
    }

    private static void checkRestart(Supplier<MemoryLedger> ledgers) {
        // GIVEN
        MemoryLedger ledger = ledgers.get();
        ledger.report(report(1, 10, 40, resident(OTHER, 40)));
        ledger.charge("o", WRITER, 30);
        assertThat(ledger.chargedBytes()).isEqualTo(70);
        // WHEN
        ledger.report(report(2, 1, 0));
        // THEN
        assertThat(ledger.chargedBytes()).isEqualTo(30);
    }

    @Test
    void should_charge_an_ended_order_that_may_arrive_late_only_in_later_incarnations() {
        // GIVEN
        MemoryLedger ledger = ledger();
        ledger.report(report(1, 10, 0));
        ledger.mayArriveLate("o", WRITER, 30, 1);
        assertThat(ledger.chargedBytes()).isZero();
        // WHEN
        ledger.report(report(2, 1, 0));
        // THEN
        assertThat(ledger.chargedBytes()).isEqualTo(30);
        ledger.forgetLate("o");
        assertThat(ledger.chargedBytes()).isZero();
    }

    @Test
    void should_charge_memory_in_use_that_the_report_does_not_explain() {
        // GIVEN
        MemoryLedger ledger = ledger();
        ledger.workingBytes(artifact -> 10);
        // WHEN
        ledger.report(report(1, 10, 75, resident(WRITER, 40)));
        // THEN
        assertThat(ledger.chargedBytes()).isEqualTo(75);
        assertThat(ledger.fits(OTHER, 25)).isTrue();
        assertThat(ledger.fits(OTHER, 26)).isFalse();
    }

    @Test
    void should_ignore_a_report_of_an_earlier_incarnation_and_an_answer_from_it() {
        // GIVEN
        MemoryLedger ledger = ledger();
        ledger.report(report(2, 1, 0));
        ledger.charge("o", WRITER, 30);
        // WHEN
        ledger.report(report(1, 99, 40, resident(OTHER, 40)));
        ledger.confirmLoad("o", 1);
        // THEN
        assertThat(ledger.chargedBytes()).isZero();
    }
}
