/** Structured log events; {@link org.foxtailridge.core.log.LogEvent#named} starts one. */
package org.foxtailridge.core.log;
