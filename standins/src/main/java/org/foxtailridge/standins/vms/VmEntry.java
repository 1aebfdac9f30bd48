package org.foxtailridge.standins.vms;

/**
 * One VM of the list.
 *
 * @param name name of the VM and of its node
 * @param dataCentre name of its data centre
 * @param innerAddress address for other nodes, {@code HOST:PORT}
 * @param operatorAddress address for operators, {@code HOST:PORT}
 * @param callerAddress address for callers, {@code HOST:PORT}
 * @param state {@code live} or {@code leaving}
 */
public record VmEntry(
        String name,
        String dataCentre,
        String innerAddress,
        String operatorAddress,
        String callerAddress,
        String state) {
    VmEntry named(String newName) {
        return new VmEntry(
                newName, dataCentre, innerAddress, operatorAddress, callerAddress, state);
    }
}
