/** The platform as this node reaches it. */
package org.foxtailridge.node.platform;
