/** How commands reach the log service, the VM list and the nodes. */
package org.foxtailridge.cli.platform;
