/** Typed names of the things that the configuration lists. */
package org.foxtailridge.core.name;
