/**
 * Error kinds, the answer to the caller for each, and the exception that has a kind.
 *
 * <p>Code throws a subclass of {@link org.foxtailridge.core.error.FoxtailridgeException}; the edge
 * of a process calls {@link org.foxtailridge.core.error.FoxtailridgeException#from} and {@link
 * org.foxtailridge.core.error.FoxtailridgeException#answer}.
 */
package org.foxtailridge.core.error;
