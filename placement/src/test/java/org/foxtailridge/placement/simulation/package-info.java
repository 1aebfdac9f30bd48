/** Drives placement on several nodes against engines, a log and a network that fail. */
package org.foxtailridge.placement.simulation;
