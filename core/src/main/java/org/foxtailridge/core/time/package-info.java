/** Clocks: a monotonic clock for production and a manual clock for tests and simulations. */
package org.foxtailridge.core.time;
