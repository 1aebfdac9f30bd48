package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against calls that take the start of a head for an answer, over sockets: the process that
 * is called closes the connection at any byte of the head, resets it, or is killed.
 */
class CutHeadOfCallTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final CallLimits LIMITS = new CallLimits(TIMEOUT, 1_024);
    private static final int CONNECTIONS = 1_000;
    private static final int MAXIMUM_HEAD_BYTES = 1_024;
    private static final ConnectionSettings SETTINGS =
            new ConnectionSettings(TIMEOUT, TIMEOUT, TIMEOUT, MAXIMUM_HEAD_BYTES);
    private static final byte[] NO_BODY = {};
    // Never read by the process, so that its end resets the connection.
    private static final byte[] BODY = "unread".getBytes(US_ASCII);

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final HttpCalls mCalls =
            new HttpCalls(
                    mLoop,
                    new EndpointConnections(mLoop, SETTINGS, MonotonicClock.start()),
                    CONNECTIONS);
    private Process mProcess;
    private BufferedReader mOutput;
    private EndpointAddress mAddress;

    @BeforeEach
    void startProcess() throws IOException {
        mProcess = TestProcess.start(CutHeadProcess.class);
        mOutput = mProcess.inputReader();
        mAddress = new EndpointAddress("127.0.0.1", Integer.parseInt(mOutput.readLine()));
    }

    @AfterEach
    void stop() {
        mProcess.destroyForcibly();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @ParameterizedTest(name = "{0}, {1}")
    @CsvSource({
        "close, 'HTTP/1.1 200 OK\r\nContent-Length: 120\r\nSeal: s\r\n\r\n'",
        "close, 'HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n'",
        "close, 'HTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n'",
        "reset, 'HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 120\r\n\r\n'",
        "reset, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeal: s\r\n\r\n'",
        "reset, 'HTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n'",
    })
    void should_fail_calls_whose_answers_are_cut_inside_the_head(String end, String head) {
        // WHEN
        List<CompletableFuture<HttpAnswer>> calls = callForEachStart(end, head, NO_BODY);

        // THEN
        expectFailures(calls, head);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 120\r\n\r\n'",
        "'HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n'",
        "'HTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n'",
    })
    void should_fail_calls_to_a_process_that_is_killed_inside_a_head(String head) throws Exception {
        // GIVEN connections with a request that was read, and with one that was not
        List<CompletableFuture<HttpAnswer>> calls = callForEachStart("keep", head, NO_BODY);
        List<CompletableFuture<HttpAnswer>> unread = callForEachStart("keep", head, BODY);
        for (int answered = 0; answered < calls.size() + unread.size(); answered++) {
            assertThat(mOutput.readLine()).isEqualTo("answered");
        }

        // WHEN
        mProcess.destroyForcibly().waitFor();

        // THEN
        expectFailures(calls, head);
        expectFailures(unread, head);
    }

    private List<CompletableFuture<HttpAnswer>> callForEachStart(
            String end, String head, byte[] body) {
        List<CompletableFuture<HttpAnswer>> calls = new ArrayList<>();
        for (int cut = 0; cut < head.length(); cut++) {
            String start = HexFormat.of().formatHex(head.substring(0, cut).getBytes(US_ASCII));
            calls.add(call("/" + end + "/" + start, body));
        }
        return calls;
    }

    private CompletableFuture<HttpAnswer> call(String target, byte[] body) {
        HttpMethod method = body.length == 0 ? HttpMethod.GET : HttpMethod.POST;
        return CompletableFuture.supplyAsync(
                        () -> mCalls.call(mAddress, method, target, body, LIMITS), mLoop)
                .thenCompose(answer -> answer);
    }

    private static void expectFailures(List<CompletableFuture<HttpAnswer>> calls, String head) {
        for (int cut = 0; cut < calls.size(); cut++) {
            assertThat(calls.get(cut))
                    .as("cut after %d bytes: [%s]", cut, head.substring(0, cut))
                    .failsWithin(TIMEOUT)
                    .withThrowableThat()
                    .havingCause()
                    .isInstanceOfSatisfying(
                            CallFailedException.class,
                            failure ->
                                    assertThat(failure.failure()).isEqualTo(AttemptFailure.BROKEN));
        }
    }
}
