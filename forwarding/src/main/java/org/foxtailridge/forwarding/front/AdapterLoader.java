package org.foxtailridge.forwarding.front;

import java.util.function.Consumer;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.request.WantedModel;

/** Loads adapters on endpoints before requests that need them are sent. */
@FunctionalInterface
public interface AdapterLoader {
    /**
     * Loads an adapter on an endpoint.
     *
     * @param endpoint the endpoint
     * @param requested model and adapter
     * @param onResident called once with whether the endpoint has the adapter; not called after the
     *     wait was cancelled
     * @return cancels the wait when run
     */
    Runnable load(EndpointName endpoint, WantedModel requested, Consumer<Boolean> onResident);
}
