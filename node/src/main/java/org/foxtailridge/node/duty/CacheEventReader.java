package org.foxtailridge.node.duty;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailridge.clients.engine.CacheEvent;
import org.foxtailridge.clients.engine.CacheEventPage;
import org.foxtailridge.clients.engine.EngineClient;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.PromptPrefix;

/** Reads the cache events of engines and hands them to routing; runs on the reports thread. */
final class CacheEventReader {
    private static final int PAGE_EVENTS = 256;

    private final EngineClient mEngines;
    private final RoutingDuty mRouting;
    private final DutyThread mThread;
    private final Map<EndpointName, Position> mPositions = new HashMap<>();
    private final Set<EndpointName> mAsked = ConcurrentHashMap.newKeySet();

    CacheEventReader(EngineClient engines, RoutingDuty routing, DutyThread thread) {
        mEngines = engines;
        mRouting = routing;
        mThread = thread;
    }

    /** Asks an engine for its next events; at most one question to each is open at a time. */
    void ask(EndpointName endpoint, String address, long incarnation) {
        Position position = mPositions.get(endpoint);
        if (position == null || position.incarnation() != incarnation) {
            position = new Position(incarnation, 0);
            mPositions.put(endpoint, position);
        }
        if (!mAsked.add(endpoint)) {
            return;
        }
        mEngines.cacheEvents(address, position.next(), PAGE_EVENTS)
                .whenComplete(
                        (page, failure) ->
                                mThread.offer(() -> onPage(endpoint, incarnation, page)));
    }

    private void onPage(EndpointName endpoint, long incarnation, CacheEventPage page) {
        mAsked.remove(endpoint);
        Position position = mPositions.get(endpoint);
        if (page == null || page.events().isEmpty() || position.incarnation() != incarnation) {
            return;
        }
        List<CacheEvent> events = page.events();
        long next = events.get(events.size() - 1).sequence() + 1;
        mPositions.put(endpoint, new Position(incarnation, next));
        mRouting.cacheChanged(
                endpoint,
                new CacheEventBatch(
                        incarnation, events.stream().map(CacheEventReader::routingEvent).toList()));
    }

    private static org.foxtailridge.routing.CacheEvent routingEvent(CacheEvent event) {
        return new org.foxtailridge.routing.CacheEvent(
                event.sequence(),
                org.foxtailridge.routing.CacheEvent.Kind.valueOf(
                        event.kind().toUpperCase(Locale.ROOT)),
                event.model(),
                new PromptPrefix(event.prefix(), event.tokens()));
    }

    /**
     * How far the events of an engine have been read.
     *
     * @param incarnation start of the engine that the events belong to
     * @param next sequence number of the next event
     */
    private record Position(long incarnation, long next) {}
}
