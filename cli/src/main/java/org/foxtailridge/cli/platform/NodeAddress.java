package org.foxtailridge.cli.platform;

/**
 * Where operators reach a node.
 *
 * @param node name of the node, or the address when no name is known
 * @param operatorAddress base address of its operator port
 */
public record NodeAddress(String node, String operatorAddress) {}
