/**
 * Small stand-ins of the outside systems, with switches for their faults.
 *
 * <p>The same classes run as processes of their own, inside the quickstart and inside tests. Each
 * has a builder, an address and a {@code close} method.
 */
package org.foxtailridge.standins;
