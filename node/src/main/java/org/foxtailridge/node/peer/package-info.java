/** Connections between nodes. */
package org.foxtailridge.node.peer;
