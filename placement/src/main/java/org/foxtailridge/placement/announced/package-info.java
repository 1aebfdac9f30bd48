/**
 * Models and adapters on engines that announce themselves and check no fencing numbers.
 *
 * <p>{@link org.foxtailridge.placement.announced.AnnouncedPlacement} is the entry.
 */
package org.foxtailridge.placement.announced;
