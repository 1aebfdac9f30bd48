/** Keys of callers: generation, hashing and comparison. */
package org.foxtailridge.configuration.key;
