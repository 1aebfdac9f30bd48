/** Typed names of nodes, endpoints, data centres and client accounts, and their syntax check. */
package org.foxtailridge.core.name;
