/** Checks of arguments that several modules make. */
package org.foxtailridge.core.check;
