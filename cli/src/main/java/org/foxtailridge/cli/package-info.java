/** The command line of operators: entry point and choice of the command. */
package org.foxtailridge.cli;
