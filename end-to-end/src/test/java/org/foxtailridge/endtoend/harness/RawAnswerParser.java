package org.foxtailridge.endtoend.harness;

import java.util.Locale;

/** Reads the bytes of one answer whose connection has ended. */
final class RawAnswerParser {
    private static final String HEAD_END = "\r\n\r\n";

    private final String mBytes;
    private final String mHead;
    private final String mEnd;
    private int mPosition;

    private RawAnswerParser(String bytes, int headEnd, String end) {
        mBytes = bytes;
        mHead = bytes.substring(0, headEnd).toLowerCase(Locale.ROOT) + "\r\n";
        mPosition = headEnd + HEAD_END.length();
        mEnd = end;
    }

    /**
     * Reads an answer.
     *
     * @param bytes all that has arrived, in ASCII
     * @param end "orderly", or the failure of the connection
     */
    static ReceivedStream parse(String bytes, String end) {
        int headEnd = bytes.indexOf(HEAD_END);
        if (headEnd < 0) {
            return new ReceivedStream(0, false, "", end);
        }
        return new RawAnswerParser(bytes, headEnd, end).answer();
    }

    private ReceivedStream answer() {
        int status = Integer.parseInt(mHead.split(" ")[1]);
        if (mHead.contains("transfer-encoding: chunked\r\n")) {
            return chunked(status);
        }
        String body = mBytes.substring(mPosition);
        int length = mHead.indexOf("content-length:");
        if (length < 0) {
            return new ReceivedStream(status, mEnd.equals("orderly"), body, mEnd);
        }
        String value = mHead.substring(length, mHead.indexOf("\r\n", length)).split(":")[1];
        boolean complete = body.length() == Integer.parseInt(value.strip());
        return new ReceivedStream(status, complete, body, mEnd);
    }

    private ReceivedStream chunked(int status) {
        StringBuilder body = new StringBuilder();
        while (true) {
            int lineEnd = mBytes.indexOf("\r\n", mPosition);
            if (lineEnd < 0) {
                return new ReceivedStream(status, false, body.toString(), mEnd);
            }
            int length = Integer.parseInt(mBytes.substring(mPosition, lineEnd).strip(), 16);
            if (length == 0) {
                boolean complete = mBytes.startsWith(HEAD_END, lineEnd);
                return new ReceivedStream(status, complete, body.toString(), mEnd);
            }
            int from = lineEnd + 2;
            int to = Math.min(mBytes.length(), from + length);
            body.append(mBytes, Math.min(from, to), to);
            mPosition = to + 2;
            if (mPosition > mBytes.length()) {
                return new ReceivedStream(status, false, body.toString(), mEnd);
            }
        }
    }
}
