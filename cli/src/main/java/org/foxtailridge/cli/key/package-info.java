/** Commands that give, withdraw and list callers' keys. */
package org.foxtailridge.cli.key;
