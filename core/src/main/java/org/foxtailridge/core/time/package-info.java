/** Clocks: the monotonic clock of production and the clock that tests advance. */
package org.foxtailridge.core.time;
