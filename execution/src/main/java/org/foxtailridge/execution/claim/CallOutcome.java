package org.foxtailridge.execution.claim;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Objects;

/** How the one dispatch of a call ended. */
public sealed interface CallOutcome {
    /**
     * The endpoint answered.
     *
     * @param status HTTP status code
     * @param headers headers of the answer that a repetition is to carry
     * @param body body of the answer
     */
    record Answered(int status, List<Header> headers, byte[] body) implements CallOutcome {
        /** Copies the headers. */
        public Answered {
            headers = List.copyOf(headers);
            Objects.requireNonNull(body, "body");
        }

        /** Returns the bytes of body and headers. */
        long bytes() {
            long headerCharacters =
                    headers.stream()
                            .mapToLong(header -> header.name().length() + header.value().length())
                            .sum();
            return body.length + headerCharacters;
        }
    }

    /** The endpoint has said, or it is certain otherwise, that no endpoint began. */
    record NotStarted() implements CallOutcome {}

    /** An endpoint may have executed the call. */
    record Unknown() implements CallOutcome {}

    /**
     * A header of an answer.
     *
     * @param name name of the header
     * @param value value of the header
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Header(@JsonProperty("name") String name, @JsonProperty("value") String value) {}
}
