/** Proofs against real processes. */
package org.foxtailridge.endtoend;
