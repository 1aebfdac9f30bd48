package org.foxtailridge.cli.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.clients.log.AppendRefusedException;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.clients.log.LogUnavailableException;
import org.foxtailridge.configuration.publish.EditPublication;
import org.foxtailridge.configuration.publish.PublicationStep;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;
import org.foxtailridge.core.error.FoxtailridgeException;

/**
 * Publishes edits and reads back what became of them.
 *
 * <p>When the answer of an append is lost, the log is read for the edit's identifier before
 * anything is appended again.
 */
public final class EditPublisher {
    private static final int MAXIMUM_APPENDS = 5;
    private static final int MAXIMUM_READS = 20;
    private static final Duration PAUSE = Duration.ofMillis(500);

    private final LogService mLog;
    private final PublishedState mState;
    private final Terminal mTerminal;

    /** Creates a publisher to a log. */
    public EditPublisher(LogService log, Terminal terminal) {
        mLog = Objects.requireNonNull(log, "log");
        mTerminal = Objects.requireNonNull(terminal, "terminal");
        mState = new PublishedState(log);
    }

    /**
     * Publishes an edit.
     *
     * @return the outcome of the edit, which is in force
     * @throws FoxtailridgeException with kind {@code EDIT_CONFLICT} when another edit came first,
     *     {@code CONFIGURATION_INVALID} when it was refused, {@code LOG_UNAVAILABLE} when it could
     *     not be published or its outcome could not be read
     */
    public EditOutcome publish(Edit edit) {
        EditPublication publication = new EditPublication(edit, MAXIMUM_APPENDS);
        int reads = 0;
        while (publication.step() != PublicationStep.DONE) {
            if (publication.step() == PublicationStep.GIVEN_UP) {
                throw new EditUnresolvedException(edit.id(), false);
            }
            if (publication.step() == PublicationStep.APPEND) {
                append(publication);
            } else if (!readBack(publication) && ++reads == MAXIMUM_READS) {
                throw new EditUnresolvedException(edit.id(), true);
            }
        }
        EditOutcome outcome = publication.outcome().orElseThrow();
        outcome.failure()
                .ifPresent(
                        failure -> {
                            throw failure;
                        });
        return outcome;
    }

    private void append(EditPublication publication) {
        publication.onSent();
        try {
            List<String> payloads = List.of(publication.payload());
            publication.onAppended(mLog.append(PublishedState.STREAM, payloads).join());
        } catch (RuntimeException failure) {
            if (FoxtailridgeException.from(failure) instanceof AppendRefusedException) {
                publication.onRefused();
                mTerminal.pause(PAUSE);
                return;
            }
            mTerminal.err().println("no answer from the log; reading whether the edit is in it");
            publication.onAnswerLost(mTerminal.clock().instant());
        }
    }

    private boolean readBack(EditPublication publication) {
        Instant begun = mTerminal.clock().instant();
        try {
            publication.onState(mState.read(), begun);
            return true;
        } catch (LogUnavailableException failure) {
            mTerminal.pause(PAUSE);
            return false;
        }
    }
}
