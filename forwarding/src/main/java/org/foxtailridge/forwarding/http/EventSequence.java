package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

/**
 * Checks that the events of a stream follow one another, whichever endpoints send them: the
 * identifiers of events must increase, and each line must be a field of an event or a comment.
 *
 * <p>Identifiers that are not numbers can't be compared; of these, only a repetition is detected.
 *
 * <pre>{@code
 * EventSequence sequence = new EventSequence(resumeAfter);
 * int valid = sequence.accept(completeEvents);   // bytes that may be forwarded
 * sequence.violation();                          // why the rest may not
 * }</pre>
 */
public final class EventSequence {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COLON = ':';
    private static final String ID_FIELD = "id";
    private static final String DATA_FIELD = "data";
    // A field without a value may be written without a colon.
    private static final String[] FIELDS = {ID_FIELD, DATA_FIELD, "event", "retry"};
    private static final String NONE = "";

    private String mLastId = NONE;
    private String mLastNumber = NONE;
    private String mViolation;
    private boolean mContinuable = true;
    private String mIdOfEvent = NONE;
    private boolean mEventHasData;

    /**
     * Creates a sequence.
     *
     * @param resumeAfter identifier that the first event must follow; empty for a new stream
     */
    public EventSequence(Optional<String> resumeAfter) {
        Objects.requireNonNull(resumeAfter, "resumeAfter");
        resumeAfter.map(String::strip).ifPresent(this::setLast);
    }

    /**
     * Reads complete events, without moving the reader index.
     *
     * @return number of bytes before the first event that violates the order; all bytes if none
     *     does, and 0 after an earlier violation
     */
    public int accept(ByteBuf events) {
        int start = events.readerIndex();
        int accepted = start;
        int index = start;
        while (mViolation == null && index < events.writerIndex()) {
            int lineFeed = events.indexOf(index, events.writerIndex(), LINE_FEED);
            int next = lineFeed < 0 ? events.writerIndex() : lineFeed + 1;
            int end = endOfLine(events, index, lineFeed < 0 ? next : lineFeed);
            if (end > index) {
                readLine(events, index, end);
            } else if (endEvent()) {
                accepted = next;
            }
            index = next;
        }
        return accepted - start;
    }

    /**
     * Returns the identifier of the last accepted event that has one, or the one to resume after.
     */
    public Optional<String> lastEventId() {
        return Optional.of(mLastId).filter(id -> !id.isEmpty());
    }

    /** Returns why an event was not accepted; empty if all were. */
    public Optional<String> violation() {
        return Optional.ofNullable(mViolation);
    }

    /**
     * Returns whether another endpoint can continue after the last accepted event, which it can't
     * if the event has data but no identifier.
     */
    public boolean isContinuable() {
        return mContinuable;
    }

    /** Starts with the answer of another endpoint, which continues after the accepted events. */
    public void startAttempt() {
        mViolation = null;
        clearEvent();
    }

    private static int endOfLine(ByteBuf events, int start, int end) {
        boolean hasReturn = end > start && events.getByte(end - 1) == CARRIAGE_RETURN;
        return hasReturn ? end - 1 : end;
    }

    private void readLine(ByteBuf events, int start, int end) {
        int colon = events.indexOf(start, end, COLON);
        int nameEnd = colon < 0 ? end : colon;
        if (colon < 0 && !isField(events, start, end)) {
            mViolation = "a line of an event is no field";
        } else if (isNamed(events, start, nameEnd, DATA_FIELD)) {
            mEventHasData = true;
        } else if (colon >= 0 && isNamed(events, start, nameEnd, ID_FIELD)) {
            readId(text(events, colon + 1, end).strip());
        }
    }

    private void readId(String id) {
        if (!mIdOfEvent.isEmpty()) {
            // Joined from two events, the first of which was cut behind a line.
            mViolation = "an event has the identifiers " + mIdOfEvent + " and " + id;
        }
        mIdOfEvent = id;
    }

    /** Returns whether the event that has been read may follow the ones before it. */
    private boolean endEvent() {
        if (mIdOfEvent.isEmpty()) {
            mContinuable &= !mEventHasData;
        } else if (follows(mIdOfEvent)) {
            setLast(mIdOfEvent);
            mContinuable = true;
        } else {
            mViolation = "event " + mIdOfEvent + " follows event " + mLastId;
            return false;
        }
        clearEvent();
        return true;
    }

    private boolean follows(String id) {
        return isNumber(id) ? isGreater(id, mLastNumber) : !id.equals(mLastId);
    }

    private void setLast(String id) {
        mLastId = id;
        if (isNumber(id)) {
            mLastNumber = id;
        }
    }

    private void clearEvent() {
        mIdOfEvent = NONE;
        mEventHasData = false;
    }

    private static boolean isField(ByteBuf events, int start, int end) {
        for (String field : FIELDS) {
            if (isNamed(events, start, end, field)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isNamed(ByteBuf events, int start, int end, String name) {
        if (end - start != name.length()) {
            return false;
        }
        for (int offset = 0; offset < name.length(); offset++) {
            if (events.getByte(start + offset) != name.charAt(offset)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isNumber(String id) {
        for (int index = 0; index < id.length(); index++) {
            if (id.charAt(index) < '0' || id.charAt(index) > '9') {
                return false;
            }
        }
        return !id.isEmpty();
    }

    /** Compares numbers with any number of digits; any number is greater than none. */
    private static boolean isGreater(String number, String other) {
        if (other.isEmpty()) {
            return true;
        }
        String digits = withoutLeadingZeros(number);
        String otherDigits = withoutLeadingZeros(other);
        return digits.length() == otherDigits.length()
                ? digits.compareTo(otherDigits) > 0
                : digits.length() > otherDigits.length();
    }

    private static String withoutLeadingZeros(String number) {
        int first = 0;
        while (first < number.length() - 1 && number.charAt(first) == '0') {
            first++;
        }
        return number.substring(first);
    }

    private static String text(ByteBuf bytes, int start, int end) {
        return bytes.toString(start, end - start, StandardCharsets.UTF_8);
    }
}
