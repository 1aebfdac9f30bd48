/** Open-loop load against a running system, with latencies from the intended start of a request. */
package org.foxtailridge.cli.load;
