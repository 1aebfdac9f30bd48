/**
 * Endpoints that announce themselves.
 *
 * <p>{@link org.foxtailridge.forwarding.endpoint.AnnouncedEndpoints} is the entry.
 */
package org.foxtailridge.forwarding.endpoint;
