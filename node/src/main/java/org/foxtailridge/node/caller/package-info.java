/** HTTP towards callers. */
package org.foxtailridge.node.caller;
