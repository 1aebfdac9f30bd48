/** Accounting of accelerator memory. */
package org.foxtailridge.placement.memory;
