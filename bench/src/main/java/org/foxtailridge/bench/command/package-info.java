/** Commands that list comparisons and run them. */
package org.foxtailridge.bench.command;
