/**
 * The life of a forwarded request, without input or output.
 *
 * <p>{@link org.foxtailridge.forwarding.request.RequestLife} is the entry.
 */
package org.foxtailridge.forwarding.request;
