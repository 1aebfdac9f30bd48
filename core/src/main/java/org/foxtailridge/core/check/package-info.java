/** Argument checks shared by all modules. */
package org.foxtailridge.core.check;
