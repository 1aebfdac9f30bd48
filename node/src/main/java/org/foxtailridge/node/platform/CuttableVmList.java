package org.foxtailridge.node.platform;

import java.util.concurrent.CompletableFuture;
import org.foxtailridge.clients.vm.VmList;
import org.foxtailridge.clients.vm.VmListUnavailableException;
import org.foxtailridge.clients.vm.VmPage;

/** The VM list behind a switch that cuts it off. */
public final class CuttableVmList implements VmList {
    private final VmList mVms;
    private final PlatformCut mCut;

    /** Puts the switch before a VM list. */
    public CuttableVmList(VmList vms, PlatformCut cut) {
        mVms = vms;
        mCut = cut;
    }

    @Override
    public CompletableFuture<VmPage> read() {
        if (mCut.isCut()) {
            return CompletableFuture.failedFuture(new VmListUnavailableException("cut off"));
        }
        return mVms.read();
    }
}
