/** HTTP plumbing shared by the clients of outside systems. */
package org.foxtailridge.clients.http;
