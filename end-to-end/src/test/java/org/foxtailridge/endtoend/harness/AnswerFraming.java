package org.foxtailridge.endtoend.harness;

import java.nio.charset.StandardCharsets;

/** How an answer says where its body ends. */
public enum AnswerFraming {
    CHUNKED {
        @Override
        String header(int bytes) {
            return "Transfer-Encoding: chunked\r\n";
        }

        @Override
        String part(String text) {
            int bytes = text.getBytes(StandardCharsets.UTF_8).length;
            return Integer.toHexString(bytes) + "\r\n" + text + "\r\n";
        }

        @Override
        String end() {
            return "0\r\n\r\n";
        }
    },
    LENGTH {
        @Override
        String header(int bytes) {
            return "Content-Length: " + bytes + "\r\n";
        }
    },
    /** The end of the connection is the end of the body. */
    UNFRAMED {
        @Override
        String header(int bytes) {
            return "";
        }
    };

    abstract String header(int bytes);

    String part(String text) {
        return text;
    }

    String end() {
        return "";
    }
}
