/** Duties of a node: each runs decision logic on a thread of its own. */
package org.foxtailridge.node.duty;
