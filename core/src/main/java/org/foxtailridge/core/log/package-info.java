/** Structured lines of the log. */
package org.foxtailridge.core.log;
