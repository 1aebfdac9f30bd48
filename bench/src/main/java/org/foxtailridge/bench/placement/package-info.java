/** Placement compared with a static one and an every-minute greedy one, and the planner's time. */
package org.foxtailridge.bench.placement;
