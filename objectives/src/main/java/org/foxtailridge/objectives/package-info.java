/**
 * Service-level objectives: good and bad events of each route and client account, and the report on
 * how fast they use up the budget of bad events.
 *
 * <p>{@link org.foxtailridge.objectives.count.ObjectiveCounters} counts on one node; {@link
 * org.foxtailridge.objectives.report.BurnReport} merges the counts of all nodes.
 */
package org.foxtailridge.objectives;
