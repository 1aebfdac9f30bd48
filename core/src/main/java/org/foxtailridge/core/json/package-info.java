/** JSON codec shared by all modules. */
package org.foxtailridge.core.json;
