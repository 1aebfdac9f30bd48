/** JSON codec shared by all modules; {@link org.foxtailridge.core.json.Json} is the only class. */
package org.foxtailridge.core.json;
