/**
 * Load balancing: the choice of the endpoint for each attempt, and the events that it depends on.
 *
 * <p>A request enters at {@link org.foxtailridge.routing.Router#choose}, an event at one of the
 * other methods of {@link org.foxtailridge.routing.Router}. Routers do no input or output and are
 * confined to one thread. Queueing belongs in {@link org.foxtailridge.routing.queue}.
 */
package org.foxtailridge.routing;
