/** Commands that run one stand-in of an outside system as a process. */
package org.foxtailridge.cli.standin;
