package org.foxtailridge.clients.vm;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The list of VMs could not be read. */
public final class VmListUnavailableException extends FoxtailridgeException {
    /** Creates the failure with the reason. */
    public VmListUnavailableException(String reason) {
        super(ErrorKind.INTERNAL, "expected the list of VMs but was " + reason);
    }
}
