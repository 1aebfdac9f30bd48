/** Stand-in of the rate-limited weight store. */
package org.foxtailridge.standins.weights;
