package org.foxtailridge.clients.vm;

/**
 * An entry VM as the platform lists it.
 *
 * @param name name of the VM and of its node
 * @param dataCentre name of its data centre
 * @param innerAddress host and port for other nodes
 * @param operatorAddress host and port for operators
 * @param callerAddress host and port for callers
 * @param state what the platform says of it
 */
public record Vm(
        String name,
        String dataCentre,
        String innerAddress,
        String operatorAddress,
        String callerAddress,
        VmState state) {}
