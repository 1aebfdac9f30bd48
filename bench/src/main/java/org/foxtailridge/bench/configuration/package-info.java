/** Time for an edit to be in force on every node, and the bytes that this takes. */
package org.foxtailridge.bench.configuration;
