/** Starts real nodes as processes beside stand-ins, and kills, freezes and cuts them. */
package org.foxtailridge.endtoend.harness;
