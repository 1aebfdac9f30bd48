package org.foxtailridge.placement.order;

import java.util.List;

/** Decides directly before an unload is sent whether other copies still serve. */
@FunctionalInterface
public interface UnloadGuard {
    /**
     * Returns whether the unload may be sent.
     *
     * @param unload order to unload an artifact
     * @param witnesses endpoints whose copies stay; empty when the model is not listed any more
     */
    boolean mayUnload(Order unload, List<String> witnesses);
}
