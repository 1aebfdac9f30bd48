/**
 * What operators publish for requests that are forwarded as they are: routes, services, client
 * accounts and their keys.
 *
 * <p>{@link org.foxtailridge.forwarding.configuration.ForwardingConfiguration} is the entry.
 */
package org.foxtailridge.forwarding.configuration;
