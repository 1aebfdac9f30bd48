package org.foxtailridge.endtoend.harness;

import java.net.http.HttpResponse;
import java.util.Iterator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** A streamed answer of which the head, and so the first token, has arrived. */
public final class LiveStream {
    private final HttpResponse<Stream<String>> mResponse;
    private final Iterator<String> mLines;

    LiveStream(HttpResponse<Stream<String>> response) {
        mResponse = response;
        mLines = response.body().iterator();
    }

    /** Reads the next line. */
    public String nextLine() {
        return mLines.next();
    }

    /** Reads all that is left, until the answer ends. */
    public CallerAnswer rest() {
        Iterable<String> lines = () -> mLines;
        String body =
                StreamSupport.stream(lines.spliterator(), false).collect(Collectors.joining("\n"));
        return new CallerAnswer(mResponse.statusCode(), mResponse.headers().map(), body);
    }

    /** Goes away without reading the rest, as a caller does that vanishes. */
    public void vanish() {
        mResponse.body().close();
    }
}
