package org.foxtailridge.routing.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Serves the client account with the least virtual time first; ties go by account name. */
final class LeastVirtualTimeOrder implements AccountOrder {
    private static final Comparator<AccountQueue> LEAST_VIRTUAL_TIME =
            Comparator.comparingDouble(AccountQueue::virtualTime)
                    .thenComparing(AccountQueue::account);

    @Override
    public List<AccountQueue> order(List<AccountQueue> waiting) {
        List<AccountQueue> ordered = new ArrayList<>(waiting);
        ordered.sort(LEAST_VIRTUAL_TIME);
        return ordered;
    }
}
