/**
 * Threads of duties, which exchange tasks through bounded rings. {@link
 * org.foxtailridge.core.thread.DutyThread#offer} is the entry method.
 */
package org.foxtailridge.core.thread;
