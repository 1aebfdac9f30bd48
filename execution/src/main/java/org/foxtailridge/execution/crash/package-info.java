/** Requests that take endpoints down with them, counted over the fleet. */
package org.foxtailridge.execution.crash;
