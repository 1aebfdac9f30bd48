/** Token buckets that give back reserved tokens without exceeding the burst in any window. */
package org.foxtailridge.limits.bucket;
