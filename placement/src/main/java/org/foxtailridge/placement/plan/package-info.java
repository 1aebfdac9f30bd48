/** Decides which models belong on which endpoints, and the next steps towards that. */
package org.foxtailridge.placement.plan;
