package org.borageproxy.placement;

import java.time.Duration;
import java.util.List;

import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetDemandTest {

    private static final VmName ENTRY = new VmName("entry");
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

    private final VirtualTime time = new VirtualTime(1);
    private final FleetDemand demand = new FleetDemand();

    private void requests(String model, int tokensPerSecond, Duration duration) {
        for (Duration elapsed = Duration.ZERO;
                elapsed.compareTo(duration) < 0;
                elapsed = elapsed.plus(REPORT_INTERVAL)) {
            time.advance(REPORT_INTERVAL);
            ModelDemand reported = ModelDemand.newBuilder()
                    .setService("s")
                    .setModel(model)
                    .setTokens(tokensPerSecond / 10)
                    .build();
            demand.applyReport(ENTRY, List.of(reported), time.nowNanos());
            demand.updateRates(time.nowNanos());
        }
    }

    private double rate(String model) {
        return demand.byModel("s").getOrDefault(model, LoadPlanner.Demand.NONE).tokensPerSecond();
    }

    /** Pattern: demand shifts to another model. Its copies take seconds to load, so that the rise must show at once. */
    @Test
    void riseShowsWithinSecondAndAHalfAndFallIsSlower() {
        requests("a", 5_000, Duration.ofSeconds(5));
        requests("b", 5_000, Duration.ofMillis(1_600));
        assertEquals(5_000, rate("b"), 500);
        assertTrue(rate("a") > 500, "rate of the former model " + rate("a"));
    }

    /** Guards against copies for a burst that is over before a copy is loaded. */
    @Test
    void burstOfOneSampleCountsInPart() {
        requests("a", 1_000, Duration.ofSeconds(5));
        requests("a", 10_000, Duration.ofMillis(500));
        assertTrue(rate("a") < 6_500, "rate " + rate("a"));
    }
}
