package org.foxtailridge.standins.platform;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.MalformedBodyException;
import org.foxtailridge.standins.server.RateBucket;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;

/**
 * An address of the store with fault switches of its own, so that a store can turn some nodes away
 * while it serves others.
 */
public final class StoreDoor implements AutoCloseable {
    private static final int LENGTH_BYTES = 4;
    private static final int MAXIMUM_CALL_BYTES = 2 << 20;
    private static final int MAXIMUM_PAGE_ITEMS = 500;
    private static final int DEFAULT_READ_KILOBYTES = 1_024;
    private static final int BYTES_PER_KILOBYTE = 1_024;
    private static final long MAXIMUM_WAIT_MILLISECONDS = 30_000;
    private static final String OPERATOR_TOPIC = "keyed.op";
    private static final String WORKERS_TOPIC = "keyed.servers";

    private final StoreState mState;
    private final EventLoop mLoop;
    private final RateBucket mWrites;
    private final RateBucket mReads;
    private final StandinServer mServer;
    private StoreFaults mFaults = StoreFaults.none();
    private int mAnswersToLose;
    private long mCalls;

    StoreDoor(StoreState state, EventLoop loop, RateBucket writes, RateBucket reads, int port) {
        mState = state;
        mLoop = loop;
        mWrites = writes;
        mReads = reads;
        mServer =
                StandinServer.start(
                        "store-standin-http",
                        port,
                        loop,
                        exchange -> loop.execute(() -> receive(exchange)));
    }

    /** Returns the base address. */
    public URI address() {
        return mServer.address();
    }

    /** Sets all fault switches; those absent from the argument are switched off. */
    public void setFaults(StoreFaults faults) {
        mLoop.execute(
                () -> {
                    mFaults = faults;
                    mAnswersToLose = faults.answersToLose();
                });
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** Returns the number of calls that came, refused ones included; on the loop only. */
    long calls() {
        return mCalls;
    }

    private void receive(Exchange exchange) {
        mCalls++;
        if (mFaults.silent()) {
            return;
        }
        if (mFaults.refusing()) {
            exchange.answer(503, StoreMessages.Refused.because("away"));
            return;
        }
        boolean reads = exchange.method().equals("GET");
        if (!(reads ? mReads : mWrites).tryTake()) {
            exchange.answer(429, StoreMessages.Refused.because("rate"));
            return;
        }
        if (!reads && mFaults.lateMilliseconds() > 0) {
            mLoop.after(
                    Duration.ofMillis(mFaults.lateMilliseconds()),
                    () -> carryOut(exchange, answer -> exchange.cut()));
            return;
        }
        if (!reads && mAnswersToLose > 0) {
            mAnswersToLose--;
            carryOut(exchange, answer -> exchange.cut());
            return;
        }
        carryOut(exchange, this::deliver);
    }

    /** Sends an answer, late when the door is slow. */
    private void deliver(Runnable answer) {
        if (mFaults.slowMilliseconds() > 0) {
            mLoop.after(Duration.ofMillis(mFaults.slowMilliseconds()), answer);
        } else {
            answer.run();
        }
    }

    private void carryOut(Exchange exchange, Delivery delivery) {
        Instant now = mLoop.clock().instant();
        mState.expire(now);
        try {
            switch (exchange.method() + " " + exchange.path()) {
                case "POST /log-append" -> append(exchange, delivery, now);
                case "GET /log-read" -> read(exchange, delivery);
                case "GET /log-newest" -> newest(exchange, delivery);
                case "POST /log-trim" -> trim(exchange, delivery);
                case "POST /log-join" -> join(exchange, delivery, now);
                case "POST /log-leave" -> leave(exchange, delivery);
                case "POST /log-commit" -> commit(exchange, delivery);
                case "GET /log-owners" -> owners(exchange, delivery, now);
                default -> answer(exchange, delivery, 404, StoreMessages.Refused.because("call"));
            }
        } catch (MalformedBodyException | IllegalArgumentException malformed) {
            answer(exchange, delivery, 400, StoreMessages.Refused.because(malformed.getMessage()));
        }
    }

    private void append(Exchange exchange, Delivery delivery, Instant now) {
        String topic = topic(exchange);
        if (topic.equals(OPERATOR_TOPIC) || topic.equals(WORKERS_TOPIC)) {
            answer(exchange, delivery, 403, StoreMessages.Refused.because("topic"));
            return;
        }
        if (exchange.body().length > MAXIMUM_CALL_BYTES) {
            answer(exchange, delivery, 413, StoreMessages.Refused.because("size"));
            return;
        }
        Optional<ProducerStamp> stamp =
                exchange.query("producer")
                        .map(
                                producer ->
                                        new ProducerStamp(
                                                producer,
                                                exchange.query("epoch", 0),
                                                exchange.query("seq", 0)));
        OptionalLong at =
                exchange.query("at").isPresent()
                        ? OptionalLong.of(exchange.query("at", 0))
                        : OptionalLong.empty();
        AppendOutcome outcome =
                partition(exchange).append(records(exchange.body()), at, stamp, now);
        if (outcome instanceof AppendOutcome.Appended appended) {
            mState.changed();
            answer(
                    exchange,
                    delivery,
                    200,
                    new StoreMessages.Appended(appended.offset(), appended.end()));
        } else if (outcome instanceof AppendOutcome.OtherEnd other) {
            answer(exchange, delivery, 412, StoreMessages.Refused.otherEnd(other.end()));
        } else if (outcome instanceof AppendOutcome.OutOfSequence out) {
            answer(exchange, delivery, 409, StoreMessages.Refused.outOfSequence(out.expected()));
        } else {
            answer(exchange, delivery, 409, StoreMessages.Refused.because("fenced"));
        }
    }

    private void read(Exchange exchange, Delivery delivery) {
        long wait = Math.min(exchange.query("waitMs", 0), MAXIMUM_WAIT_MILLISECONDS);
        Instant until = mLoop.clock().instant().plusMillis(wait);
        if (wait > 0) {
            mLoop.after(Duration.ofMillis(wait), () -> readOrWait(exchange, delivery, until));
        }
        readOrWait(exchange, delivery, until);
    }

    private void readOrWait(Exchange exchange, Delivery delivery, Instant until) {
        StorePartition partition = partition(exchange);
        long from = exchange.query("from", 0);
        boolean waits = mLoop.clock().instant().isBefore(until) && from == partition.end();
        if (waits) {
            mState.onNextChange(() -> readOrWait(exchange, delivery, until));
            return;
        }
        long most = exchange.query("maxKb", DEFAULT_READ_KILOBYTES) * BYTES_PER_KILOBYTE;
        Optional<List<byte[]>> records = partition.read(from, (int) most);
        if (records.isEmpty()) {
            StoreMessages.Refused deleted = StoreMessages.Refused.deletedBefore(partition.first());
            answer(exchange, delivery, 410, deleted);
            return;
        }
        byte[] bytes = bytes(partition, records.get());
        delivery.deliver(() -> exchange.answerBytes("application/octet-stream", bytes));
    }

    private void newest(Exchange exchange, Delivery delivery) {
        StorePartition partition = partition(exchange);
        List<StoreMessages.Item> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, StorePartition.Newest> entry :
                partition.newestAfter(exchange.query("after").orElse(""))) {
            more = items.size() == MAXIMUM_PAGE_ITEMS;
            if (more) {
                break;
            }
            StorePartition.Newest newest = entry.getValue();
            items.add(new StoreMessages.Item(entry.getKey(), newest.value(), newest.offset()));
        }
        answer(exchange, delivery, 200, new StoreMessages.Page(items, more, partition.end()));
    }

    private void trim(Exchange exchange, Delivery delivery) {
        StoreMessages.Trim trim = exchange.body(StoreMessages.Trim.class);
        mState.partition(trim.topic(), trim.part()).trim(trim.before());
        answer(exchange, delivery, 200, new StoreMessages.Done());
    }

    private void join(Exchange exchange, Delivery delivery, Instant now) {
        StoreMessages.Join join = exchange.body(StoreMessages.Join.class);
        List<StorePlace> places =
                join.topics().stream().flatMap(topic -> mState.places(topic).stream()).toList();
        StoreGroup group = mState.group(join.group());
        Duration lifetime = Duration.ofMillis(join.lifetimeMilliseconds());
        group.join(join.member(), places, lifetime, join.generation(), now);
        List<List<Object>> parts = new ArrayList<>();
        for (StorePlace place : group.partsOf(join.member())) {
            parts.add(List.of(place.topic(), place.partition(), group.committed(place)));
        }
        answer(exchange, delivery, 200, new StoreMessages.Joined(group.generation(), parts));
    }

    private void leave(Exchange exchange, Delivery delivery) {
        StoreMessages.Leave leave = exchange.body(StoreMessages.Leave.class);
        mState.group(leave.group()).leave(leave.member());
        answer(exchange, delivery, 200, new StoreMessages.Done());
    }

    private void commit(Exchange exchange, Delivery delivery) {
        StoreMessages.Commit commit = exchange.body(StoreMessages.Commit.class);
        boolean committed =
                mState.group(commit.group())
                        .commit(
                                commit.member(),
                                commit.generation(),
                                new StorePlace(commit.topic(), commit.part()),
                                commit.offset());
        answer(exchange, delivery, committed ? 200 : 409, new StoreMessages.Done());
    }

    private void owners(Exchange exchange, Delivery delivery, Instant now) {
        StoreGroup group = mState.group(exchange.query("group").orElse(""));
        group.lapse(now);
        List<List<Object>> rows = new ArrayList<>();
        group.owners()
                .forEach(
                        (place, member) ->
                                rows.add(
                                        List.of(
                                                place.topic(),
                                                place.partition(),
                                                member,
                                                group.committed(place))));
        answer(exchange, delivery, 200, new StoreMessages.Owners(rows));
    }

    private static void answer(Exchange exchange, Delivery delivery, int status, Object body) {
        delivery.deliver(() -> exchange.answer(status, body));
    }

    private StorePartition partition(Exchange exchange) {
        return mState.partition(topic(exchange), exchange.query("part", 0));
    }

    private static String topic(Exchange exchange) {
        return exchange.query("topic")
                .orElseThrow(() -> new IllegalArgumentException("expected a topic"));
    }

    private static List<byte[]> records(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<byte[]> records = new ArrayList<>();
        while (buffer.hasRemaining()) {
            int length = buffer.remaining() < LENGTH_BYTES ? -1 : buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                throw new IllegalArgumentException("expected whole records");
            }
            byte[] record = new byte[length];
            buffer.get(record);
            records.add(record);
        }
        return records;
    }

    private static byte[] bytes(StorePartition partition, List<byte[]> records) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ByteBuffer head = ByteBuffer.allocate(2 * Long.BYTES);
        head.putLong(partition.end()).putLong(partition.first());
        bytes.writeBytes(head.array());
        for (byte[] record : records) {
            bytes.writeBytes(ByteBuffer.allocate(LENGTH_BYTES).putInt(record.length).array());
            bytes.writeBytes(record);
        }
        return bytes.toByteArray();
    }

    /** Sends an answer, or loses it. */
    @FunctionalInterface
    private interface Delivery {
        void deliver(Runnable answer);
    }
}
