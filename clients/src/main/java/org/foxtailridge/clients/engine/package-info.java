/** Client of model engines. */
package org.foxtailridge.clients.engine;
