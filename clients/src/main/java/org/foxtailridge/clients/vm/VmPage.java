package org.foxtailridge.clients.vm;

import java.util.List;

/**
 * The platform's list of VMs; it lags.
 *
 * @param asOfMs time of the list, in milliseconds since the epoch
 * @param vms listed VMs
 */
public record VmPage(long asOfMs, List<Vm> vms) {
    /** Copies the list. */
    public VmPage {
        vms = vms == null ? List.of() : List.copyOf(vms);
    }
}
