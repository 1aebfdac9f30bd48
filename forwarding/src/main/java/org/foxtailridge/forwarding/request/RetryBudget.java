package org.foxtailridge.forwarding.request;

/** Whether the fleet's budget allows one more attempt; asking takes it. */
@FunctionalInterface
public interface RetryBudget {
    /** Takes one attempt out of the budget of a service; returns whether there was one. */
    boolean take(String service);
}
