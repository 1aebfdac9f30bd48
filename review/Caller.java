import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A caller: one request on a new connection. */
final class Caller {
    private Caller() {}

    /** What a caller has received. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** Whether the answer was framed and whole. */
        boolean complete;
        long milliseconds;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Answer get(int port, String path, int patience) throws IOException {
        return send(port, "GET", path, Map.of(), "", patience);
    }

    /**
     * Sends a request and reads the answer.
     *
     * @throws SocketTimeoutException when no answer is complete after the given milliseconds
     */
    static Answer send(
            int port,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int patience)
            throws IOException {
        long began = System.nanoTime();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        head.append("Host: lots.example\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        if (bytes.length > 0) {
            head.append("Content-Length: " + bytes.length + "\r\n");
        }
        head.append("\r\n");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            Timed in = new Timed(socket, began + patience * 1_000_000L);
            Answer answer = new Answer();
            read(in, answer);
            answer.milliseconds = (System.nanoTime() - began) / 1_000_000;
            return answer;
        }
    }

    private static void read(Timed in, Answer answer) throws IOException {
        String status = in.line();
        answer.status = Integer.parseInt(status.split(" ")[1]);
        for (String line = in.line(); !line.isEmpty(); line = in.line()) {
            int colon = line.indexOf(':');
            answer.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equals(answer.headers.get("transfer-encoding"))) {
                int size = Integer.parseInt(in.line().strip(), 16);
                while (size > 0) {
                    in.copy(body, size);
                    in.line();
                    size = Integer.parseInt(in.line().strip(), 16);
                }
                in.line();
                answer.complete = true;
            } else if (answer.headers.containsKey("content-length")) {
                in.copy(body, Integer.parseInt(answer.headers.get("content-length")));
                answer.complete = true;
            }
        } catch (EOFException cut) {
            answer.complete = false;
        }
        answer.body = body.toByteArray();
    }

    /** Input with a point in time at which it ends. */
    private static final class Timed {
        private final Socket mSocket;
        private final InputStream mIn;
        private final long mUntilNanoseconds;

        private Timed(Socket socket, long untilNanoseconds) throws IOException {
            mSocket = socket;
            mIn = new java.io.BufferedInputStream(socket.getInputStream());
            mUntilNanoseconds = untilNanoseconds;
        }

        private int read() throws IOException {
            long left = (mUntilNanoseconds - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException("no whole answer in time");
            }
            mSocket.setSoTimeout((int) left);
            int read = mIn.read();
            if (read < 0) {
                throw new EOFException();
            }
            return read;
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int read = read(); read != '\n'; read = read()) {
                if (read != '\r') {
                    line.append((char) read);
                }
            }
            return line.toString();
        }

        private void copy(ByteArrayOutputStream to, int count) throws IOException {
            for (int index = 0; index < count; index++) {
                to.write(read());
            }
        }
    }
}
