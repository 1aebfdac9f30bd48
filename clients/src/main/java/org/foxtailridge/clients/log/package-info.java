/** Client of the append-only log service. */
package org.foxtailridge.clients.log;
