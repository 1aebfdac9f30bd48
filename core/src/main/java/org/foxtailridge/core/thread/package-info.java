/** Threads for duties, joined by bounded rings. */
package org.foxtailridge.core.thread;
