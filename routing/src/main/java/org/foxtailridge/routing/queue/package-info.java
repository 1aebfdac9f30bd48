/**
 * Request scheduling: bounded queues with work classes and weighted fair shares between client
 * accounts, preemption of batch work (all classes but interactive) and early refusal.
 *
 * <p>A request enters at {@link org.foxtailridge.routing.queue.RequestScheduler#submit} and leaves
 * through {@link org.foxtailridge.routing.queue.SchedulerOutbox} as a dispatch or a refusal. The
 * choice of the endpoint belongs in {@link org.foxtailridge.routing.Router}.
 */
package org.foxtailridge.routing.queue;
