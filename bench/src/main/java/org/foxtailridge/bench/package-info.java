/**
 * Drives decision logic with seeded demand and prints the measures of policies beside baselines.
 */
package org.foxtailridge.bench;
