/** Stand-in of the append-only log service: streams in memory with retention, rate and faults. */
package org.foxtailridge.standins.log;
