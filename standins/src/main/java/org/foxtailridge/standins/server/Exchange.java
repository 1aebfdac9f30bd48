package org.foxtailridge.standins.server;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One request whose body has been read, and the answer to it. */
public final class Exchange {
    private static final Pattern KEY_SHAPE = Pattern.compile("fr_[^_\\s]+_\\S+");
    private static final List<String> KEY_HEADERS =
            List.of("Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie");

    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private final byte[] mBody;
    private final Fields mQuery;
    private final AtomicBoolean mEnded = new AtomicBoolean();

    Exchange(Request request, Response response, Callback callback, byte[] body) {
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mBody = body;
        mQuery = Request.extractQueryParameters(request);
    }

    /** Returns the method, for example {@code POST}. */
    public String method() {
        return mRequest.getMethod();
    }

    /** Returns the path without the query. */
    public String path() {
        return mRequest.getHttpURI().getPath();
    }

    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.getHeaders().get(name));
    }

    public byte[] body() {
        return mBody;
    }

    /**
     * Returns the body as a typed message.
     *
     * @throws MalformedBodyException if it is no JSON of this type
     */
    public <T> T body(Class<T> type) {
        return Json.read(mBody, type);
    }

    /**
     * Returns a number of the query.
     *
     * @param name name of the parameter
     * @param fallback value when the query lacks it
     * @throws MalformedBodyException if it is no number
     */
    public long query(String name, long fallback) {
        String value = mQuery.getValue(name);
        if (value == null) {
            return fallback;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException failure) {
            throw new MalformedBodyException(Long.class, name + "=" + value);
        }
    }

    /** Returns a text of the query. */
    public Optional<String> query(String name) {
        return Optional.ofNullable(mQuery.getValue(name));
    }

    /** Returns path and query as they came. */
    public String target() {
        return mRequest.getHttpURI().getPathQuery();
    }

    /** Returns whether a header that carries credentials, or a value shaped like a key, came. */
    public boolean credentialsSeen() {
        for (HttpField field : mRequest.getHeaders()) {
            boolean named = KEY_HEADERS.stream().anyMatch(field.getName()::equalsIgnoreCase);
            if (named || KEY_SHAPE.matcher(String.valueOf(field.getValue())).find()) {
                return true;
            }
        }
        String query = mRequest.getHttpURI().getQuery();
        return query != null && KEY_SHAPE.matcher(query).find();
    }

    /** Sets a header of the answer; before any part of the answer is written. */
    public Exchange answerHeader(String name, String value) {
        mResponse.getHeaders().put(name, value);
        return this;
    }

    /** Answers with a JSON body. */
    public void answer(int status, Object body) {
        if (mEnded.compareAndSet(false, true)) {
            mResponse.setStatus(status);
            mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            mResponse.write(true, ByteBuffer.wrap(Json.write(body)), mCallback);
        }
    }

    /** Answers without a body. */
    public void answer(int status) {
        if (mEnded.compareAndSet(false, true)) {
            mResponse.setStatus(status);
            mCallback.succeeded();
        }
    }

    /** Answers with raw bytes and status 200. */
    public void answerBytes(String contentType, byte[] bytes) {
        if (mEnded.compareAndSet(false, true)) {
            mResponse.setStatus(200);
            mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
            mResponse.write(true, ByteBuffer.wrap(bytes), mCallback);
        }
    }

    /** Begins a streamed answer with status 200. */
    public void beginStream(String contentType) {
        mResponse.setStatus(200);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    }

    /**
     * Writes a part of a streamed answer; the next part may follow after the callback.
     *
     * @param part bytes to write
     * @param last whether the answer ends with this part
     * @param written called when the part has been taken by the connection or has failed
     */
    public void write(byte[] part, boolean last, Callback written) {
        if (mEnded.get()) {
            written.failed(new EofException("the exchange has ended"));
            return;
        }
        if (!last) {
            mResponse.write(false, ByteBuffer.wrap(part), written);
            return;
        }
        mEnded.set(true);
        mResponse.write(true, ByteBuffer.wrap(part), Callback.combine(written, mCallback));
    }

    /** Closes the connection without finishing the answer. */
    public void cut() {
        if (mEnded.compareAndSet(false, true)) {
            mRequest.getConnectionMetaData().getConnection().getEndPoint().close();
            mCallback.failed(new EofException("cut by a fault switch"));
        }
    }
}
