package org.foxtailridge.bench.routing;

import org.junit.jupiter.api.Test;

class RoutingComparisonTest {
    @Test
    void should_print() {
        System.out.println(new RoutingComparison().run(1).toText());
    }
}
