/** Compares limiters over all nodes on the demand of the deployments. */
package org.foxtailridge.bench.limits;
