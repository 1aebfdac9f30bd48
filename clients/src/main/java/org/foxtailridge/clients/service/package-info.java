/** Client of plain services. */
package org.foxtailridge.clients.service;
