/** A whole system on loopback inside one process: nodes and stand-ins with real sockets between. */
package org.foxtailridge.cli.quickstart;
