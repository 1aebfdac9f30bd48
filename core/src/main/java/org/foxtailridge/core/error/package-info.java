/**
 * Closed list of error kinds, the table from kind to answer, and the exception that carries a kind.
 */
package org.foxtailridge.core.error;
