package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;

/**
 * Server in a process of its own that begins every answer and never ends it. It writes its port to
 * standard output.
 */
final class UnframedAnswerProcess {
    private UnframedAnswerProcess() {}

    public static void main(String[] arguments) {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        CallerServer server = new CallerServer(loop, new Handler(), MonotonicClock.start());
        server.listen(new InetSocketAddress("127.0.0.1", 0)).join();
        System.out.println(server.address().getPort());
    }

    private static final class Handler implements CallerHandler {
        @Override
        public void handle(CallerExchange exchange) {
            exchange.begin(200, "OK", new DefaultHttpHeaders(), OptionalLong.empty());
            exchange.write(Unpooled.copiedBuffer("id: 1\n\n", US_ASCII));
            exchange.flush();
        }

        @Override
        public CallerLimits limits() {
            return CallerLimits.DEFAULTS;
        }

        @Override
        public boolean isStopping() {
            return false;
        }

        @Override
        public void refused(ErrorKind kind, String reason) {
            throw new IllegalStateException(reason);
        }
    }
}
