/** The simple limiters that the chosen one is checked against and measured beside. */
package org.foxtailridge.limits.baseline;
