/** Client of the list of VMs. */
package org.foxtailridge.clients.vm;
