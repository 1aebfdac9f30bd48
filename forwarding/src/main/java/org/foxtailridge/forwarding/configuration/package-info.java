/**
 * Published configuration of the forwarding of requests with opaque bodies: routes, services,
 * client accounts and their API keys.
 *
 * <p>A configuration enters at {@link
 * org.foxtailridge.forwarding.configuration.ConfigurationDecoder#decode}, which returns a {@link
 * org.foxtailridge.forwarding.configuration.ForwardingConfiguration}; a request is looked up with
 * its method {@code route}.
 */
package org.foxtailridge.forwarding.configuration;
