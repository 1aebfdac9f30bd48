package org.foxtailridge.forwarding.front;

import java.util.function.Consumer;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.request.WantedModel;

/** Has adapters loaded before requests are sent. */
@FunctionalInterface
public interface AdapterLoader {
    /**
     * Has an endpoint load an adapter.
     *
     * @param endpoint the endpoint
     * @param wanted model and adapter
     * @param done told once whether the endpoint has it; not called when the wait is cancelled
     * @return cancels the wait
     */
    Runnable load(EndpointName endpoint, WantedModel wanted, Consumer<Boolean> done);
}
