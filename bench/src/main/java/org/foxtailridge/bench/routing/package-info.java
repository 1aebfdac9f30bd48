/**
 * Compares policies of routing over the same seeded demand, with small fake engines.
 *
 * <p>{@link org.foxtailridge.bench.routing.RoutingComparison} is the entry.
 */
package org.foxtailridge.bench.routing;
