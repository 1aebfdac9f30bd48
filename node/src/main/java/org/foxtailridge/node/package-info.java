/** The process on each entry VM. */
package org.foxtailridge.node;
