package org.foxtailridge.standins.vms;

/**
 * Fault switches of the VM list stand-in; the default of each is off.
 *
 * @param outage answers every read with 503
 * @param lagMs replaces the lag of the settings, in milliseconds; null keeps it
 * @param refuseMs closes all connections and refuses new ones for this many milliseconds
 * @param holdMs leaves every request without an answer for this many milliseconds
 */
public record VmListFaults(boolean outage, Long lagMs, long refuseMs, long holdMs) {}
