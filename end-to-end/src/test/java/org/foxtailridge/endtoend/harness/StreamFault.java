package org.foxtailridge.endtoend.harness;

import java.io.IOException;

/**
 * What a worker does wrong in the first answer to a request; those that follow are sound unless
 * noted.
 */
public enum StreamFault {
    NONE {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            stream.whole();
        }
    },
    KILLED_INSIDE_HEAD {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            String head = stream.headText(0);
            answer.write(head.substring(0, head.length() / 2));
            ScriptedStream.pause(WRITTEN_MILLISECONDS);
            answer.worker().kill();
        }
    },
    KILLED_BEHIND_HEAD {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            stream.head();
            ScriptedStream.pause(WRITTEN_MILLISECONDS);
            answer.worker().kill();
        }
    },
    KILLED_BETWEEN_EVENTS {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeBetweenEvents(stream);
            answer.worker().kill();
        }
    },
    KILLED_INSIDE_EVENT {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeInsideEvent(stream);
            answer.worker().kill();
        }
    },
    CLOSED_BETWEEN_EVENTS {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeBetweenEvents(stream);
            answer.close();
        }
    },
    CLOSED_INSIDE_EVENT {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeInsideEvent(stream);
            answer.close();
        }
    },
    RESET_BETWEEN_EVENTS {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeBetweenEvents(stream);
            answer.reset();
        }
    },
    RESET_INSIDE_EVENT {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeInsideEvent(stream);
            answer.reset();
        }
    },
    RESET_BEHIND_COMMENT {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            stream.head(COMMENT.length());
            stream.part(COMMENT);
            answer.reset();
        }
    },
    REPEATS_EVENT {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeWithExtra(stream, BROKEN_BEHIND, answer, BROKEN_BEHIND);
        }
    },
    REPEATS_LAST_EVENT {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeWithExtra(stream, LAST, answer, LAST);
        }
    },
    GOES_BACK {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeWithExtra(stream, BROKEN_BEHIND, answer, 2);
        }
    },
    /** The second answer begins with the first event whatever the request asks for. */
    STARTS_OVER {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            RESET_BETWEEN_EVENTS.write(answer, stream);
        }

        @Override
        void writeAgain(RawAnswer answer, ScriptedStream stream) throws IOException {
            stream.startOver();
            stream.whole();
        }
    },
    /** Each answer to a request from the start begins with an event that has no id. */
    RESET_BEHIND_EVENT_WITHOUT_ID {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeOpening(answer, stream);
            answer.reset();
        }

        @Override
        void writeAgain(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeOpening(answer, stream);
            stream.eventsTo(LAST);
            stream.end();
        }
    },
    SECOND_ANSWER {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeTwice(answer, stream, 0);
        }
    },
    LATE_SECOND_ANSWER {
        @Override
        void write(RawAnswer answer, ScriptedStream stream) throws IOException {
            writeTwice(answer, stream, LATE_MILLISECONDS);
        }
    };

    /** Number of the last event of each stream. */
    public static final int LAST = 8;

    /** An event without an id. */
    public static final String OPENING = "data: opening\n\n";

    private static final String COMMENT = ": opening\n\n";
    private static final int BROKEN_BEHIND = 4;
    private static final long WRITTEN_MILLISECONDS = 20;
    private static final long LATE_MILLISECONDS = 60;

    /** Returns whether the worker's process ends. */
    public boolean kills() {
        return name().startsWith("KILLED");
    }

    /** Returns what workers write with this fault. */
    public AnswerScript script(AnswerFraming framing) {
        return answer -> {
            ScriptedStream stream = ScriptedStream.of(answer, framing, LAST);
            if (answer.attempt() == 1) {
                write(answer, stream);
            } else {
                writeAgain(answer, stream);
            }
        };
    }

    /** Writes an answer with this fault, whichever attempt it answers. */
    public void play(RawAnswer answer, AnswerFraming framing, long pauseMilliseconds)
            throws IOException {
        ScriptedStream stream = ScriptedStream.of(answer, framing, LAST).with(pauseMilliseconds, 0);
        if (this == STARTS_OVER && answer.resumedAfter() > 0) {
            writeAgain(answer, stream);
        } else {
            write(answer, stream);
        }
    }

    abstract void write(RawAnswer answer, ScriptedStream stream) throws IOException;

    void writeAgain(RawAnswer answer, ScriptedStream stream) throws IOException {
        stream.whole();
    }

    private static void writeBetweenEvents(ScriptedStream stream) throws IOException {
        stream.head();
        stream.eventsTo(BROKEN_BEHIND);
        ScriptedStream.pause(WRITTEN_MILLISECONDS);
    }

    private static void writeInsideEvent(ScriptedStream stream) throws IOException {
        stream.head();
        stream.eventsTo(BROKEN_BEHIND);
        stream.part("id: " + (BROKEN_BEHIND + 1) + "\ndata: pie");
        ScriptedStream.pause(WRITTEN_MILLISECONDS);
    }

    private static void writeWithExtra(
            ScriptedStream stream, int behind, RawAnswer answer, int number) throws IOException {
        String extra = ScriptedStream.event(number, answer.body(), 0);
        stream.head(extra.length());
        stream.eventsTo(behind);
        stream.part(extra);
        stream.eventsTo(LAST);
        stream.end();
    }

    private static void writeOpening(RawAnswer answer, ScriptedStream stream) throws IOException {
        boolean fromStart = answer.resumedAfter() == 0;
        stream.head(fromStart ? OPENING.length() : 0);
        if (fromStart) {
            stream.part(OPENING);
        }
    }

    private static void writeTwice(RawAnswer answer, ScriptedStream stream, long pause)
            throws IOException {
        ScriptedStream again = stream.copy();
        stream.head();
        stream.eventsTo(LAST);
        stream.endWithoutRelease();
        ScriptedStream.pause(pause);
        again.head();
        again.eventsTo(LAST);
        again.end();
    }
}
