package org.foxtailridge.standins.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.foxtailridge.standins.TestClient;
import org.foxtailridge.standins.time.ManualEventLoop;
import org.junit.jupiter.api.Test;

/** Checks that changes of the VM list are seen after the lag. */
class VmListStandinTest {
    @Test
    void should_show_changes_after_the_lag_only() {
        // GIVEN
        TestClient client = new TestClient();
        ManualEventLoop loop = ManualEventLoop.atEpoch();
        loop.advance(Duration.ofSeconds(100));
        try (VmListStandin vms =
                VmListStandin.builder().loop(loop).lag(Duration.ofSeconds(5)).start()) {
            // WHEN
            String entry =
                    "{\"data_centre\":\"nadi-b\",\"inner_address\":\"127.0.0.1:9001\","
                            + "\"operator_address\":\"127.0.0.1:9101\","
                            + "\"caller_address\":\"127.0.0.1:8080\",\"state\":\"live\"}";
            client.send("PUT", vms.address(), "/vms/vm-1", entry).join();
            loop.advance(Duration.ofSeconds(4));
            // THEN
            assertThat(client.get(vms.address(), "/vms").body())
                    .isEqualTo("{\"as_of_ms\":99000,\"vms\":[]}");
            loop.advance(Duration.ofSeconds(1));
            assertThat(client.get(vms.address(), "/vms").body())
                    .contains("\"name\":\"vm-1\",\"data_centre\":\"nadi-b\"");
            client.send("DELETE", vms.address(), "/vms/vm-1", "").join();
            assertThat(client.get(vms.address(), "/vms").body()).contains("vm-1");
            loop.advance(Duration.ofSeconds(5));
            assertThat(client.get(vms.address(), "/vms").body()).doesNotContain("vm-1");
        }
    }
}
