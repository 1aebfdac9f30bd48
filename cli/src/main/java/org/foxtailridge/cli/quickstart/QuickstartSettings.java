package org.foxtailridge.cli.quickstart;

import org.foxtailridge.cli.platform.OptionException;

/**
 * Size and ports of a quickstart.
 *
 * @param nodes number of nodes
 * @param endpoints number of model engines
 * @param port port of the first node's callers, the next ones follow; 0 picks free ports
 * @param firstTokenMilliseconds time that an engine takes to the first token
 * @param betweenTokensMilliseconds time that an engine takes between tokens
 */
record QuickstartSettings(
        int nodes,
        int endpoints,
        int port,
        long firstTokenMilliseconds,
        long betweenTokensMilliseconds) {
    private static final int LARGEST_PORT = 65_535;
    private static final int LARGEST_COUNT = 64;
    private static final int OPERATOR_PORT_DISTANCE = 100;
    private static final int LOG_PORT_DISTANCE = 200;

    QuickstartSettings {
        requireCount("--nodes", nodes);
        requireCount("--endpoints", endpoints);
        boolean fits = port >= 0 && port + LOG_PORT_DISTANCE <= LARGEST_PORT;
        if (!fits) {
            throw new OptionException(
                    "--port from 0 to " + (LARGEST_PORT - LOG_PORT_DISTANCE),
                    Integer.toString(port));
        }
    }

    int callerPort(int node) {
        return port == 0 ? 0 : port + node;
    }

    int operatorPort(int node) {
        return port == 0 ? 0 : port + OPERATOR_PORT_DISTANCE + node;
    }

    int logPort() {
        return port == 0 ? 0 : port + LOG_PORT_DISTANCE;
    }

    private static void requireCount(String option, int count) {
        if (count < 1 || count > LARGEST_COUNT) {
            throw new OptionException(
                    option + " from 1 to " + LARGEST_COUNT, Integer.toString(count));
        }
    }
}
