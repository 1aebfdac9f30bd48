/**
 * Endpoints as they announce themselves in a keyed stream of the log.
 *
 * <p>Records enter at {@link org.foxtailridge.forwarding.endpoint.AnnouncedEndpoints#apply};
 * changes leave through {@link org.foxtailridge.forwarding.endpoint.EndpointListener}.
 */
package org.foxtailridge.forwarding.endpoint;
