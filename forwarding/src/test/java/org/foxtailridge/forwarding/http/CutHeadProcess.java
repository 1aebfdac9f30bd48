package org.foxtailridge.forwarding.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Endpoint in a process of its own. It answers with the bytes that the target of a request gives in
 * hexadecimal, {@code GET /close/4854}, and then closes the connection, resets it, or keeps it
 * open. It writes its port to standard output, and a line for each answer.
 */
final class CutHeadProcess {
    private static final int BACKLOG = 1_024;
    private static final List<Socket> KEPT = new ArrayList<>();

    private CutHeadProcess() {}

    public static void main(String[] arguments) throws IOException {
        try (ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())) {
            System.out.println(server.getLocalPort());
            while (true) {
                answer(server.accept());
                System.out.println("answered");
            }
        }
    }

    private static void answer(Socket caller) throws IOException {
        String[] target = readHead(caller).split(" ")[1].split("/", -1);
        caller.getOutputStream().write(HexFormat.of().parseHex(target[2]));
        if (target[1].equals("keep")) {
            KEPT.add(caller);
            return;
        }
        caller.setSoLinger(target[1].equals("reset"), 0);
        caller.close();
    }

    private static String readHead(Socket caller) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) caller.getInputStream().read());
        }
        return head.toString();
    }
}
