package org.foxtailridge.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/**
 * A configuration as the operator writes it into the store.
 *
 * <pre>{@code
 * String json =
 *         OperatorConfiguration.builder(7)
 *                 .service("bids", 100)
 *                 .route("bids.example", "/lots/", "bids", "safe", Duration.ofSeconds(1), 2)
 *                 .account("yard", 50_000, "key-1")
 *                 .toJson();
 * }</pre>
 */
public final class OperatorConfiguration {
    private final ObjectNode mRoot = JsonNodeFactory.instance.objectNode();
    private final ArrayNode mRoutes = mRoot.putArray("routes");
    private final ArrayNode mServices = mRoot.putArray("services");
    private final ArrayNode mAccounts = mRoot.putArray("tenants");

    private OperatorConfiguration(long version) {
        mRoot.put("version", version);
        ObjectNode limits = mRoot.putObject("limits");
        limits.put("maxHeaderBytes", 16_384);
        limits.put("maxBodyBytes", 4_194_304);
        limits.put("headerTimeoutMs", 3_000);
        limits.put("idleTimeoutMs", 15_000);
    }

    /** Returns a configuration without routes. */
    public static OperatorConfiguration builder(long version) {
        return new OperatorConfiguration(version);
    }

    /** Adds a plain service. */
    public OperatorConfiguration service(String name, int maximumConnections) {
        newService(name, maximumConnections);
        return this;
    }

    /**
     * Adds a service of model engines.
     *
     * @param name name of the service
     * @param slots requests that an engine runs at once
     * @param models names of its models
     */
    public OperatorConfiguration engines(String name, int slots, List<String> models) {
        ObjectNode engine = newService(name, 100).putObject("engine");
        engine.put("slots", slots);
        engine.put("kvCapacity", 100_000);
        engine.put("stride", 1);
        engine.put("mb", 200_000);
        engine.put("adapterSlots", 8);
        engine.put("loadsPerS", 5);
        ArrayNode listed = engine.putArray("models");
        for (String model : models) {
            ObjectNode entry = listed.addObject();
            entry.put("name", model);
            entry.put("mb", 60_000);
            entry.put("loadS", 0.2);
            entry.put("diskS", 0.1);
            entry.put("warmS", 0.05);
            entry.put("adapters", 4);
            entry.put("adapterMb", 10);
        }
        return this;
    }

    /**
     * Adds a route that needs a key.
     *
     * @param kind what may be repeated: {@code safe}, {@code unsafe} or {@code streaming}
     * @param timeout longest time that a request is kept
     * @param maximumEndpoints endpoints that one request may be sent to
     */
    public OperatorConfiguration route(
            String host,
            String pathPrefix,
            String service,
            String kind,
            Duration timeout,
            int maximumEndpoints) {
        ObjectNode route = mRoutes.addObject();
        route.put("name", "r-" + mRoutes.size());
        route.put("host", host);
        route.put("pathPrefix", pathPrefix);
        route.put("kind", kind);
        route.put("timeoutMs", timeout.toMillis());
        route.put("targetLatencyMs", 400);
        route.put("priority", 0);
        route.put("service", service);
        route.put("maxAttempts", maximumEndpoints);
        route.put("public", false);
        route.put("resumable", kind.equals("streaming"));
        if (kind.equals("streaming")) {
            route.put("gapTargetMs", 250);
        }
        return this;
    }

    /** Makes the streams of the route that was added last begin anew rather than go on. */
    public OperatorConfiguration notResumable() {
        ((ObjectNode) mRoutes.get(mRoutes.size() - 1)).put("resumable", false);
        return this;
    }

    /** Adds a client account whose limit counts tokens; a rate of 0 is no limit. */
    public OperatorConfiguration account(String name, long tokensPerSecond, String... keys) {
        ObjectNode account = mAccounts.addObject();
        account.put("name", name);
        account.put("unit", "token_stream");
        account.put("plainTokens", 200);
        account.put("ratePerS", tokensPerSecond);
        account.put("burst", tokensPerSecond);
        ArrayNode listed = account.putArray("apiKeys");
        List.of(keys).forEach(listed::add);
        return this;
    }

    /** Returns what the operator writes. */
    public String toJson() {
        return mRoot.toString();
    }

    private ObjectNode newService(String name, int maximumConnections) {
        ObjectNode service = mServices.addObject();
        service.put("name", name);
        service.put("healthPath", "/health");
        service.put("maxConns", maximumConnections);
        service.put("protocol", "h1");
        service.put("tls", false);
        return service;
    }
}
