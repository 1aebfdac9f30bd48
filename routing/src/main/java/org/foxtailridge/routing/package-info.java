/**
 * Choice of the endpoint for each attempt.
 *
 * <p>{@link org.foxtailridge.routing.Router} is the entry. Routers do no input or output, are fed
 * with events and are confined to one thread.
 */
package org.foxtailridge.routing;
