/** Handing counts to another node at a planned stop. */
package org.foxtailridge.objectives.handover;
