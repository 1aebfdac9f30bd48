/** What commands share: output, exit codes, and waiting until the process is stopped. */
package org.foxtailridge.cli.terminal;
