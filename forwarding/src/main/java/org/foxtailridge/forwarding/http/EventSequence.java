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
    private static final byte SPACE = ' ';
    private static final String ID_FIELD = "id";
    private static final String DATA_FIELD = "data";
    // A field without a value may be written without a colon.
    private static final String[] FIELDS = {ID_FIELD, DATA_FIELD, "event", "retry"};
    private static final long NOT_A_NUMBER = -1;
    // The longest number that fits into 64 bits whatever its digits.
    private static final int MAXIMUM_DIGITS = 18;

    private String mLastId;
    private long mLastNumber = NOT_A_NUMBER;
    private String mViolation;
    private boolean mContinuable = true;
    // Fields of the event that is being read; an id starts at 0 if there is none.
    private int mIdStart;
    private int mIdEnd;
    private boolean mHasData;

    /**
     * Creates a sequence.
     *
     * @param resumeAfter identifier that the first event must follow; empty for a new stream
     */
    public EventSequence(Optional<String> resumeAfter) {
        Objects.requireNonNull(resumeAfter, "resumeAfter");
        resumeAfter.ifPresent(
                id -> {
                    mLastId = id;
                    mLastNumber = number(id);
                });
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
        int acceptedIdStart = 0;
        int acceptedIdEnd = 0;
        int index = start;
        while (mViolation == null && index < events.writerIndex()) {
            int lineFeed = events.indexOf(index, events.writerIndex(), LINE_FEED);
            int next = lineFeed < 0 ? events.writerIndex() : lineFeed + 1;
            int end = endOfLine(events, index, lineFeed < 0 ? next : lineFeed);
            if (end > index) {
                readLine(events, index, end);
            } else if (endEvent(events)) {
                accepted = next;
                if (mIdStart > 0) {
                    acceptedIdStart = mIdStart;
                    acceptedIdEnd = mIdEnd;
                }
                clearEvent();
            }
            index = next;
        }
        if (acceptedIdStart > 0) {
            mLastId = text(events, acceptedIdStart, acceptedIdEnd);
        }
        return accepted - start;
    }

    /**
     * Returns the identifier of the last accepted event that has one, or the one to resume after.
     */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(mLastId);
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
            mHasData = true;
        } else if (colon >= 0 && isNamed(events, start, nameEnd, ID_FIELD)) {
            boolean hasSpace = colon + 1 < end && events.getByte(colon + 1) == SPACE;
            int valueStart = hasSpace ? colon + 2 : colon + 1;
            mIdStart = valueStart < end ? valueStart : 0;
            mIdEnd = end;
        }
    }

    /** Returns whether the event that has been read may follow the ones before it. */
    private boolean endEvent(ByteBuf events) {
        if (mIdStart == 0) {
            mContinuable &= !mHasData;
            return true;
        }
        long number = number(events, mIdStart, mIdEnd);
        if (!follows(events, number)) {
            Object last = mLastNumber == NOT_A_NUMBER ? mLastId : mLastNumber;
            mViolation = "event " + text(events, mIdStart, mIdEnd) + " follows event " + last;
            return false;
        }
        if (number == NOT_A_NUMBER) {
            mLastId = text(events, mIdStart, mIdEnd);
        }
        mLastNumber = number;
        mContinuable = true;
        return true;
    }

    private boolean follows(ByteBuf events, long number) {
        if (number == NOT_A_NUMBER) {
            return !text(events, mIdStart, mIdEnd).equals(mLastId);
        }
        return number > mLastNumber;
    }

    private void clearEvent() {
        mIdStart = 0;
        mHasData = false;
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

    private static long number(ByteBuf events, int start, int end) {
        if (end - start > MAXIMUM_DIGITS) {
            return NOT_A_NUMBER;
        }
        long number = 0;
        for (int index = start; index < end; index++) {
            int digit = events.getByte(index) - '0';
            if (digit < 0 || digit > 9) {
                return NOT_A_NUMBER;
            }
            number = number * 10 + digit;
        }
        return number;
    }

    private static long number(String id) {
        boolean isNumber =
                !id.isEmpty()
                        && id.length() <= MAXIMUM_DIGITS
                        && id.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        return isNumber ? Long.parseLong(id) : NOT_A_NUMBER;
    }

    private static String text(ByteBuf bytes, int start, int end) {
        return bytes.toString(start, end - start, StandardCharsets.UTF_8);
    }
}
