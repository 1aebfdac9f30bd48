/** HTTP towards operators. */
package org.foxtailridge.node.operator;
