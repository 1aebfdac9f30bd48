package org.foxtailridge.configuration.publish;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;
import org.foxtailridge.configuration.record.RecordCodec;

/**
 * Follows one edit from its append to its outcome.
 *
 * <p>When the answer of an append is lost, the log is read back for the edit's identifier before
 * anything is appended again. A second copy that becomes visible later does no harm: the fold keeps
 * the first outcome of an identifier.
 *
 * <pre>{@code
 * EditPublication publication = new EditPublication(edit, 3);
 * while (publication.step() != DONE && publication.step() != GIVEN_UP) {
 *     // APPEND: append publication.payload(), then onAppended or onAnswerLost
 *     // READ_BACK: read to the end of the log, then onState
 * }
 * publication.outcome();
 * }</pre>
 */
public final class EditPublication {
    private final Edit mEdit;
    private final int mMaximumAppends;
    private PublicationStep mStep = PublicationStep.APPEND;
    private int mAppends;
    private long mOffset = -1;
    private Instant mReadFrom = Instant.MIN;
    private Optional<EditOutcome> mOutcome = Optional.empty();

    /**
     * Creates the publication of an edit.
     *
     * @param edit the edit
     * @param maximumAppends appends that are made at most
     */
    public EditPublication(Edit edit, int maximumAppends) {
        mEdit = Objects.requireNonNull(edit, "edit");
        if (maximumAppends < 1) {
            throw new IllegalArgumentException(
                    "maximumAppends must be at least 1 but was " + maximumAppends);
        }
        mMaximumAppends = maximumAppends;
    }

    /** Returns the payload to append. */
    public String payload() {
        return RecordCodec.write(mEdit);
    }

    /** Returns what to do next. */
    public PublicationStep step() {
        return mStep;
    }

    /** Returns what became of the edit; empty until it is known. */
    public Optional<EditOutcome> outcome() {
        return mOutcome;
    }

    /** Takes note that an append has been sent. */
    public void onSent() {
        if (mStep == PublicationStep.APPEND) {
            mAppends++;
            mStep = PublicationStep.AWAIT_ANSWER;
        }
    }

    /** Takes note that the append took effect at an offset. */
    public void onAppended(long offset) {
        if (mStep == PublicationStep.AWAIT_ANSWER) {
            mOffset = offset;
            mStep = PublicationStep.READ_BACK;
        }
    }

    /** Takes note that the log said that the append took no effect. */
    public void onRefused() {
        if (mStep == PublicationStep.AWAIT_ANSWER) {
            appendAgain();
        }
    }

    /**
     * Takes note that no answer came, so that the append may or may not have taken effect.
     *
     * @param now instant from which a read shows whether it did
     */
    public void onAnswerLost(Instant now) {
        if (mStep == PublicationStep.AWAIT_ANSWER) {
            mReadFrom = now;
            mStep = PublicationStep.READ_BACK;
        }
    }

    /**
     * Offers a state read back from the log.
     *
     * @param state state folded up to the end of the log
     * @param confirmedAt instant at which the log held no record beyond that state
     */
    public void onState(ConfigurationState state, Instant confirmedAt) {
        Optional<EditOutcome> found = state.outcomeOf(mEdit.id());
        if (found.isPresent()) {
            mOutcome = found;
            mStep = PublicationStep.DONE;
        } else if (mStep == PublicationStep.READ_BACK
                && mOffset < 0
                && !confirmedAt.isBefore(mReadFrom)) {
            appendAgain();
        }
    }

    private void appendAgain() {
        boolean left = mAppends < mMaximumAppends;
        mStep = left ? PublicationStep.APPEND : PublicationStep.GIVEN_UP;
    }
}
