/** Settings of a node: strict TOML with a unit, a default and a range for each key. */
package org.foxtailridge.node.settings;
