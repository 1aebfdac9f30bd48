/**
 * Implementation of the routers: the directory of endpoints, attempts in flight, concurrency
 * limits, outlier ejection, the prefix cache index and the selection of an endpoint.
 *
 * <p>Requests and events enter at {@link org.foxtailridge.routing.internal.DirectoryRouter}, the
 * base of all routers, in {@code choose} and the methods for events.
 */
package org.foxtailridge.routing.internal;
