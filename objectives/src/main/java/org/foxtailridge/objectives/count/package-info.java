/** Counting of good and bad events on one node, in windows of bounded size. */
package org.foxtailridge.objectives.count;
