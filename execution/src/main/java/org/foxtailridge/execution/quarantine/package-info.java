/**
 * Keeps a request that crashes endpoints from crashing more than two.
 *
 * <p>{@link org.foxtailridge.execution.quarantine.Quarantine} is the entry.
 */
package org.foxtailridge.execution.quarantine;
