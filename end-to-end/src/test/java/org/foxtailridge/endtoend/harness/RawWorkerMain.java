package org.foxtailridge.endtoend.harness;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A worker as a process of its own. It answers health checks and reports itself; for each other
 * request it connects to the test, which tells it byte by byte what to write.
 *
 * <p>Arguments: its id, the port where the test listens.
 */
final class RawWorkerMain {
    static final byte WRITE = 'W';
    static final byte KEEP = 'K';
    static final byte CLOSE = 'C';
    static final byte RESET = 'R';

    private static final int BACKLOG = 256;
    private static final String REPORT =
            """
            {"stage":"colocated","models":[{"name":"%s","version":1,"adapters":[]}],"busy":false,\
            "seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":100000,"handles":0}""";

    private final String mId;
    private final int mDirectorPort;

    private RawWorkerMain(String id, int directorPort) {
        mId = id;
        mDirectorPort = directorPort;
    }

    /** Serves until the process is killed. */
    public static void main(String[] arguments) throws IOException {
        new RawWorkerMain(arguments[0], Integer.parseInt(arguments[1])).run();
    }

    private void run() throws IOException {
        try (ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())) {
            try (Socket director = director();
                    DataOutputStream out = new DataOutputStream(director.getOutputStream())) {
                out.writeUTF(mId);
                out.writeInt(server.getLocalPort());
            }
            while (true) {
                Socket socket = server.accept();
                new Thread(() -> serve(socket)).start();
            }
        }
    }

    private Socket director() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mDirectorPort);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            while (open) {
                String head = readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                byte[] body = in.readNBytes(lengthOf(head));
                open = answer(socket, head, body);
            }
        } catch (IOException failure) {
            System.err.println(mId + ": connection ended: " + failure);
        }
    }

    private boolean answer(Socket socket, String head, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (head.startsWith("GET /report ")) {
            out.write(plain("200 OK", REPORT.formatted(RawWorker.MODEL)));
        } else if (head.startsWith("GET /health ")) {
            out.write(plain("200 OK", ""));
        } else if (head.startsWith("POST /order ")) {
            out.write(plain("409 Conflict", ""));
        } else {
            return relay(socket, head, body);
        }
        return true;
    }

    private boolean relay(Socket socket, String head, byte[] body) throws IOException {
        try (Socket director = director();
                DataOutputStream toDirector = new DataOutputStream(director.getOutputStream());
                DataInputStream fromDirector = new DataInputStream(director.getInputStream())) {
            toDirector.writeUTF(mId);
            toDirector.writeInt(0);
            toDirector.writeUTF(head);
            toDirector.writeUTF(new String(body, StandardCharsets.UTF_8));
            while (true) {
                byte command = fromDirector.readByte();
                if (command != WRITE) {
                    finish(socket, command);
                    toDirector.writeBoolean(true);
                    return command == KEEP;
                }
                byte[] bytes = fromDirector.readNBytes(fromDirector.readInt());
                toDirector.writeBoolean(wasWritten(socket, bytes));
            }
        }
    }

    private boolean wasWritten(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
            return true;
        } catch (IOException failure) {
            System.err.println(mId + ": answer not written: " + failure);
            return false;
        }
    }

    private static void finish(Socket socket, byte command) throws IOException {
        if (command == RESET) {
            socket.setSoLinger(true, 0);
        }
        if (command != KEEP) {
            socket.close();
        }
    }

    private byte[] plain(String status, String body) {
        String answer =
                "HTTP/1.1 "
                        + status
                        + "\r\nX-Instance-Id: "
                        + mId
                        + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        return answer.getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads to the empty line; returns an empty text where the connection ends before a head. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                if (head.isEmpty()) {
                    return "";
                }
                throw new EOFException("connection ended inside a head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int lengthOf(String head) {
        for (String line : head.split("\r\n")) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                return Integer.parseInt(lower.substring("content-length:".length()).strip());
            }
        }
        return 0;
    }
}
