package org.foxtailridge.clients.vm;

import java.util.concurrent.CompletableFuture;

/** The platform's list of entry VMs. */
public interface VmList {
    /** Reads the list; fails with {@link VmListUnavailableException}. */
    CompletableFuture<VmPage> read();
}
