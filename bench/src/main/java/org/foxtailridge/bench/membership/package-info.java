/** Bytes and time that nodes need to know which of them are live. */
package org.foxtailridge.bench.membership;
