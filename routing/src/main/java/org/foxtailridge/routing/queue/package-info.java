/**
 * Bounded queues for requests that can't start at once, with classes of work and fair shares.
 *
 * <p>{@link org.foxtailridge.routing.queue.RequestScheduler} is the entry.
 */
package org.foxtailridge.routing.queue;
