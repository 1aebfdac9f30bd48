package org.foxtailridge.configuration.publish;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks when a snapshot is due. */
class SnapshotScheduleTest {
    private static final Duration RETENTION = Duration.ofHours(24);

    private final ConfigurationFold mFold = ConfigurationFold.create();
    private final SnapshotSchedule mSchedule = new SnapshotSchedule(RETENTION, 5);

    @ParameterizedTest
    @CsvSource({"1, 0, false", "3, 179, false", "1, 180, true", "5, 1, true"})
    void should_be_due_by_age_or_by_records(int records, int minutes, boolean due) {
        // GIVEN
        assertThat(mSchedule.isDue(ConfigurationState.empty(), Instant.EPOCH)).isFalse();
        mFold.passOver(0);
        assertThat(mSchedule.isDue(mFold.state(), Instant.EPOCH)).isTrue();
        mSchedule.onAppended(mFold.state(), Instant.EPOCH);
        // WHEN
        for (int record = 0; record < records; record++) {
            mFold.passOver(mFold.state().offset() + 1);
        }
        // THEN
        Instant now = Instant.EPOCH.plus(Duration.ofMinutes(minutes));
        assertThat(mSchedule.isDue(mFold.state(), now)).isEqualTo(due);
    }
}
