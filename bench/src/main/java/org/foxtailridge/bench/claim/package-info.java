/** Measures what claims cost the log and how long a call waits for its claim. */
package org.foxtailridge.bench.claim;
