package org.foxtailridge.forwarding.request;

/** Budget of retries that all requests for a service share. */
@FunctionalInterface
public interface RetryBudget {
    /** Takes one retry from the budget of a service; returns false if none is left. */
    boolean tryAcquire(String service);
}
