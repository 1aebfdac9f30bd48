package org.foxtailridge.configuration.model;

/**
 * A customer.
 *
 * @param name name of the client account
 * @param plan name of its plan
 */
public record ClientAccount(String name, String plan) implements ConfigurationEntry {}
