package org.foxtailridge.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Sends mangled bodies to every call with a body. */
class EngineFuzzTest {
    private static final String[] PATHS = {
        "/v1/completions", "/orders", "/faults", "/kv/export", "/kv/import"
    };
    private static final String VALID = EngineFixture.request("hello", 3, false, 0);
    private static EngineFixture sFixture;
    private static int sAttempts;

    @BeforeContainer
    static void start() {
        sFixture = EngineFixture.start();
    }

    @AfterContainer
    static void close() {
        sFixture.close();
    }

    @Property(seed = "32", tries = 500)
    void should_refuse_mangled_bodies_and_go_on(
            @ForAll @IntRange(max = 4) int path,
            @ForAll @IntRange(max = 80) int position,
            @ForAll @StringLength(max = 4) String insertion) {
        // GIVEN
        int cut = Math.min(position, VALID.length());
        String body = VALID.substring(0, cut) + insertion + VALID.substring(cut);
        if (PATHS[path].equals("/faults")) {
            body = "{" + insertion;
        }
        // WHEN
        HttpResponse<String> answer =
                sFixture.mClient
                        .send(
                                "POST",
                                sFixture.mEngine.address(),
                                PATHS[path],
                                body,
                                "X-Request-Id",
                                "r",
                                "X-Attempt-Id",
                                "a" + sAttempts++)
                        .join();
        // THEN
        assertThat(answer.statusCode()).isIn(200, 204, 400, 404);
        if (answer.statusCode() >= 400) {
            assertThat(answer.body()).endsWith("\"started\":false}");
        }
    }
}
