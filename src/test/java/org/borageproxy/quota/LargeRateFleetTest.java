package org.borageproxy.quota;

import java.time.Duration;
import java.util.Random;
import java.util.Set;

import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

class LargeRateFleetTest {

    private static final int ENTRIES = 64;
    private static final int RATE = 50_000;
    private static final int BURST = 68_000;
    private static final int MEAN_TOKENS = 1_500;
    private static final double NANOS_PER_SECOND = 1e9;

    private final VirtualTime time = new VirtualTime(1);

    /**
     * Sends requests to entries drawn at random for 30 s; the coordinator fails after ten unless the outage is zero.
     */
    private LargeRateFleet simulate(long seed, double load, Duration oneWay, Duration outage) {
        PublishedWorkspace workspace = new PublishedWorkspace("w", Set.of("k"), 0, RATE, BURST, 200);
        LargeRateFleet fleet = new LargeRateFleet(time, ENTRIES, workspace, oneWay);
        Random random = new Random(seed);
        time.advance(Duration.ofSeconds(2));
        boolean hasFailed = outage.isZero();
        double seconds = 0;
        while (seconds < 30) {
            double pause = -Math.log(1 - random.nextDouble()) * MEAN_TOKENS / (RATE * load);
            seconds += pause;
            if (seconds > 10 && !hasFailed) {
                hasFailed = true;
                fleet.replaceCoordinator(outage);
            }
            time.advance(Duration.ofNanos((long) (pause * NANOS_PER_SECOND)));
            fleet.request(random.nextInt(ENTRIES), 300L + random.nextInt(2 * (MEAN_TOKENS - 300)));
        }
        time.advance(Duration.ofSeconds(2));
        return fleet;
    }

    /**
     * Load pattern: one workspace near its limit, whose requests arrive at 64 entries. Guards against refusals while
     * the fleet holds unspent tokens, also while the coordinator is short of processor time and answers slowly: the
     * grants of one answer must not lapse before the next one, and a request must not be decided before its grant
     * arrives.
     */
    @ParameterizedTest
    @CsvSource({"0.5, 1", "0.95, 1", "0.5, 100", "0.95, 100", "0.5, 150", "0.95, 150", "0.95, 190"})
    void requestsAreNotRefusedWhileTokensAreUnspent(double load, long oneWayMillis) {
        LargeRateFleet fleet = simulate(1, load, Duration.ofMillis(oneWayMillis), Duration.ZERO);
        int requests = fleet.admitted() + fleet.refused();
        assertTrue(
                fleet.refusedBesideUnspentTokens() <= 0.01 * requests,
                fleet.refusedBesideUnspentTokens() + " of " + requests);
    }

    /**
     * Load pattern: one workspace at six times its rate; the coordinator is replaced meanwhile, or answers slowly.
     * Guards against entries that spend their share beside grants that are still valid elsewhere.
     */
    @ParameterizedTest
    @CsvSource({"1, 1, 0", "2, 1, 500", "3, 1, 2000", "4, 150, 0", "5, 150, 2000", "6, 190, 0", "7, 190, 500"})
    void spendingStaysWithinTheRate(long seed, long oneWayMillis, long outageMillis) {
        LargeRateFleet fleet = simulate(seed, 6, Duration.ofMillis(oneWayMillis), Duration.ofMillis(outageMillis));
        assertTrue(
                fleet.maxSpentInEightSeconds() <= fleet.allowedInEightSeconds(),
                fleet.maxSpentInEightSeconds() + " of " + fleet.allowedInEightSeconds());
    }
}
