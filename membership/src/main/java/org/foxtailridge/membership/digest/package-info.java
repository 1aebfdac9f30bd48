/**
 * Dissemination of loads, demand and duty holders over one collector per data centre, with a number
 * of messages that grows linearly with the nodes.
 *
 * <p>{@link org.foxtailridge.membership.digest.FleetDigests} is the entry point.
 */
package org.foxtailridge.membership.digest;
