/** Metrics of a node; docs/operators/metrics.md lists them. */
package org.foxtailridge.node.metrics;
