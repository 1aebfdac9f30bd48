/** Commands that ask the nodes. */
package org.foxtailridge.cli.node;
