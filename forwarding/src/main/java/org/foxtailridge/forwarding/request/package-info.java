/**
 * State machine of a forwarded request: reservation of tokens, queue, attempts, retries, answer.
 * Code here does no input or output and starts no thread; actions go out through {@link
 * org.foxtailridge.forwarding.request.RequestOutbox}.
 *
 * <p>A request enters at {@link org.foxtailridge.forwarding.request.RequestStateMachine#start}; its
 * later events are the other methods of that class.
 */
package org.foxtailridge.forwarding.request;
