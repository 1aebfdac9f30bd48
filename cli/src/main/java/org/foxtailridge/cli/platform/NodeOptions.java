package org.foxtailridge.cli.platform;

import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.clients.vm.Vm;

/** Options by which a command finds the nodes. */
public final class NodeOptions {
    @Option(
            name = "--vm-list",
            title = "ADDRESS",
            description = "Base address of the VM list, which names the nodes")
    private String mVmList;

    @Option(
            name = "--node",
            title = "ADDRESS",
            description = "Base address of a node's operator port; repeatable")
    private List<String> mNodes = new ArrayList<>();

    /**
     * Returns the nodes that the options name, each once.
     *
     * @throws OptionException when no option names any
     */
    public List<NodeAddress> addresses(Connection connection) {
        if (mVmList == null && mNodes.isEmpty()) {
            throw new OptionException("--vm-list ADDRESS or --node ADDRESS", "neither");
        }
        List<NodeAddress> addresses = new ArrayList<>();
        mNodes.forEach(address -> addresses.add(new NodeAddress(address, address)));
        if (mVmList != null) {
            for (Vm vm : connection.vmList(mVmList).read().join().vms()) {
                addresses.add(new NodeAddress(vm.name(), "http://" + vm.operatorAddress()));
            }
        }
        return addresses;
    }
}
