package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against models and adapters that are asked for again and again and never served, since their callers leave.
 */
class ClaimedTargetsTest {

    private static final Duration SHORT_DEADLINE = Duration.ofSeconds(5);
    private static final Duration LONG_DEADLINE = Duration.ofSeconds(15);
    private static final Duration HANDOVER = Duration.ofMillis(3_500);
    private static final int OFTEN = 4;

    /** Thirty models are asked for at once; the store lets two load in a second, and no caller waits that long. */
    @Test
    void modelsWhoseCallersWereRefusedAreLoaded() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(30, 1, 2));
        for (int index = 0; index < 30; index++) {
            fleet.addEngine("e" + index);
        }
        fleet.advance(HANDOVER);
        for (int index = 0; index < 30; index++) {
            fleet.ask("m" + index, "", SHORT_DEADLINE);
        }
        fleet.advance(Duration.ofSeconds(30));
        assertEquals(List.of(), missing(fleet, 30));
    }

    /** A model is asked for while a new leader may not order yet. */
    @Test
    void modelAskedForDuringHandoverIsLoaded() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(2, 1, 2));
        fleet.addEngine("e0");
        fleet.advance(HANDOVER);
        fleet.changeLeader();
        fleet.advance(Duration.ofMillis(200));
        fleet.ask("m0", "", Duration.ofSeconds(1));
        fleet.advance(Duration.ofSeconds(15));
        assertTrue(fleet.isLoaded("m0"));
    }

    /** An adapter is asked for while the only engine with its model loads another model. */
    @Test
    void adapterAskedForDuringLoadOfModelIsLoadedAfterIt() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(4, 2, 2));
        fleet.addEngine("e0", "m0");
        fleet.advance(HANDOVER);
        fleet.ask("m1", "", LONG_DEADLINE);
        fleet.advance(Duration.ofSeconds(1));
        fleet.ask("m0", "a1", SHORT_DEADLINE);
        fleet.advance(Duration.ofSeconds(10));
        fleet.ask("m0", "a1", Duration.ofMillis(20));
        fleet.advance(Duration.ofSeconds(1));
        assertEquals(List.of(), fleet.unserved(2));
    }

    /** Guards against an engine that unloads one adapter after another until a report shows the first free slot. */
    @Test
    void oneAdapterIsUnloadedForOneOther() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(1, 1, 2));
        fleet.addEngine("e0", "m0");
        fleet.advance(HANDOVER);
        for (int adapter = 0; adapter < 9; adapter++) {
            fleet.ask("m0", "a" + adapter, SHORT_DEADLINE);
            fleet.advance(Duration.ofMillis(300));
        }
        fleet.advance(Duration.ofSeconds(3));
        assertEquals(List.of(), fleet.unserved(1));
        assertEquals(1, fleet.adapterUnloadCount());
    }

    /** Guards against adapters that displace one another by turns, although all callers have left. */
    @Test
    void adaptersOfCallersWhoHaveLeftDoNotDisplaceOneAnother() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(1, 1, 2));
        fleet.addEngine("e0", "m0");
        fleet.advance(HANDOVER);
        for (int adapter = 0; adapter < 12; adapter++) {
            fleet.ask("m0", "a" + adapter, Duration.ofMillis(1));
        }
        fleet.advance(Duration.ofSeconds(20));
        assertTrue(fleet.orderCount() <= 12, fleet.orderCount() + " orders");
    }

    /** Guards against an adapter that is loaded on a second engine while the order to the first one is unanswered. */
    @Test
    void adapterIsOrderedOnce() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(1, 1, 2));
        fleet.addEngine("e0", "m0");
        fleet.addEngine("e1", "m0");
        fleet.advance(HANDOVER);
        fleet.ask("m0", "a0", SHORT_DEADLINE);
        fleet.ask("m0", "a0", SHORT_DEADLINE);
        fleet.advance(Duration.ofSeconds(1));
        assertEquals(1, fleet.orderCount());
    }

    /** Another VM leads before any order for the refused requests could be sent; it hears of them from the entries. */
    @Test
    void claimsOutliveTheirLeader() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(2, 1, 2));
        fleet.addEngine("e0");
        fleet.advance(Duration.ofMillis(500));
        fleet.ask("m0", "", Duration.ofSeconds(1));
        fleet.advance(Duration.ofSeconds(2));
        fleet.changeLeader();
        fleet.advance(Duration.ofSeconds(15));
        assertTrue(fleet.isLoaded("m0"));
    }

    /**
     * Many models are asked for once, then one is asked for all the time. Guards against engines that are all busy with
     * loads for callers who have left.
     */
    @Test
    void popularModelDoesNotWaitBehindModelsAskedForOnce() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(24, 3, 2));
        for (int index = 0; index < 4; index++) {
            fleet.addEngine("e" + index, "m" + 3 * index, "m" + (3 * index + 1), "m" + (3 * index + 2));
        }
        fleet.advance(HANDOVER);
        for (int index = 12; index < 23; index++) {
            fleet.ask("m" + index, "", SHORT_DEADLINE);
        }
        fleet.askAgainAndAgain("m23", "", Duration.ofSeconds(1), Duration.ofMillis(100), SHORT_DEADLINE);
        fleet.advance(Duration.ofSeconds(21));
        assertTrue(fleet.isLoaded("m23"));
    }

    /** The popular models fill all places and are asked for all the time. */
    @Test
    void rareModelIsServedThoughAllOthersAreInMoreDemand() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(7, 3, 2));
        fleet.addEngine("e0", "m0", "m1", "m2");
        fleet.addEngine("e1", "m3", "m4", "m5");
        for (int index = 0; index < 6; index++) {
            fleet.askAgainAndAgain("m" + index, "", HANDOVER, Duration.ofMillis(400 + 10 * index), SHORT_DEADLINE);
        }
        fleet.askAgainAndAgain("m6", "", HANDOVER.plusSeconds(6), Duration.ofSeconds(6), SHORT_DEADLINE);
        fleet.advance(Duration.ofSeconds(60));
        assertEquals(List.of(), fleet.unserved(OFTEN));
    }

    /**
     * The pattern of the incident at a small scale: a few popular models, many rare ones with adapters, fewer places
     * than models, loads of 9 s against deadlines of 5 s for most callers, and a change of the leader.
     */
    @Test
    void rareModelsAndAdaptersAreServedBesidePopularOnes() {
        SimulatedFleet fleet = patternOfIncident();
        fleet.advance(Duration.ofSeconds(17));
        fleet.changeLeader();
        fleet.advance(Duration.ofSeconds(60));
        assertEquals(List.of(), fleet.unserved(OFTEN));
    }

    private static SimulatedFleet patternOfIncident() {
        int engines = 8;
        int models = 27;
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.pool(models, 3, 1.2));
        for (int index = 0; index < engines; index++) {
            fleet.addEngine("e" + index, "m0", "m" + (1 + 2 * index), "m" + (2 + 2 * index));
        }
        for (int index = 0; index < models; index++) {
            boolean isPopular = index % 9 == 0;
            Duration interval = isPopular ? Duration.ofMillis(150) : Duration.ofMillis(5_000 + 130 * index);
            Duration deadline = index % 4 == 3 ? LONG_DEADLINE : SHORT_DEADLINE;
            Duration first = HANDOVER.plusMillis(170L * index);
            fleet.askAgainAndAgain("m" + index, "", first, interval, deadline);
            for (int adapter = 0; adapter < 3; adapter++) {
                fleet.askAgainAndAgain(
                        "m" + index,
                        "a" + adapter,
                        first.plusMillis(900L * adapter),
                        interval.multipliedBy(2),
                        deadline);
            }
        }
        return fleet;
    }

    private static List<String> missing(SimulatedFleet fleet, int models) {
        List<String> missing = new ArrayList<>();
        for (int index = 0; index < models; index++) {
            if (!fleet.isLoaded("m" + index)) {
                missing.add("m" + index);
            }
        }
        return missing;
    }
}
