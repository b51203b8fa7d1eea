package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * What the fleet sends when servers crash. Beside the sound, which must be served, stand the guilty, which must not
 * reach servers for long.
 */
class CrashVerdictTest {

    /** The bound within which the fleet agrees after a change. */
    private static final long STABLE_MILLIS = 3_000;
    /** Sendings of what crashes servers that are tolerated for good, once it could be known. */
    private static final int TOLERATED_SENDS = 3;
    /** The crash of a request from which on it could be known. */
    private static final int KNOWN_REQUEST_CRASH = 3;
    /** The crash of a part of prompts from which on it could be known. */
    private static final int KNOWN_PART_CRASH = 5;

    private static final CrashSuspects LOOKUP = VerdictFleet.lookup("lookup");
    private static final int ENTRY_COUNT = 3;
    private static final int SERVER_COUNT = 12;

    private final List<VerdictFleet.Request> sound = new ArrayList<>();

    private static VerdictFleet fleet(long seed) {
        return new VerdictFleet(ENTRY_COUNT, SERVER_COUNT, seed);
    }

    private static void assertCrashingRequestIsBounded(VerdictFleet fleet) {
        assertTrue(fleet.crashCount() > 0);
        long sends = fleet.sendsAfterCrash(KNOWN_REQUEST_CRASH, STABLE_MILLIS);
        assertTrue(sends <= TOLERATED_SENDS, sends + " sendings after the bound, " + fleet.crashCount() + " crashes");
    }

    private static void assertCrashingPartIsBounded(VerdictFleet fleet) {
        assertTrue(fleet.crashCount() > 0);
        long sends = fleet.sendsAfterCrash(KNOWN_PART_CRASH, STABLE_MILLIS);
        assertTrue(sends <= TOLERATED_SENDS, sends + " sendings after the bound, " + fleet.crashCount() + " crashes");
    }

    private double servedShareAfter(long fromMillis) {
        List<VerdictFleet.Request> counted = sound.stream()
                .filter(request -> request.sentAtMillis() >= fromMillis)
                .toList();
        assertTrue(counted.size() >= 20, counted.size() + " sound requests");
        return counted.stream().filter(VerdictFleet.Request::isServed).count() / (double) counted.size();
    }

    /** Guards against a sound part that is refused beside a bad one, since the reporting VM had not served it. */
    @Test
    void soundPartThatOtherVmsHaveServedIsNotRefusedBesideBadOne() {
        VerdictFleet fleet = fleet(1);
        fleet.repeat(1_300, 10_000, count -> sound.add(fleet.sendSound(0, fleet.prompt("shared"))));
        fleet.run(10_000);
        long troubleAt = fleet.nowMillis();
        fleet.repeat(300, 60_000, count -> fleet.sendCrashing(1, fleet.prompt("shared", "bad")));
        fleet.repeat(1_300, 60_000, count -> sound.add(fleet.sendSound(0, fleet.prompt("shared"))));
        fleet.run(60_000);
        assertEquals(0, sound.stream().filter(VerdictFleet.Request::isRefused).count());
        assertTrue(servedShareAfter(troubleAt + 2 * STABLE_MILLIS) > 0.9);
        assertCrashingPartIsBounded(fleet);
    }

    /** Guards against a sound part that stays refused for ten minutes if no VM remembers that it was served. */
    @Test
    void soundPartThatNoVmRemembersIsServedAfterTrial() {
        VerdictFleet fleet = fleet(2);
        fleet.run(1_000);
        long troubleAt = fleet.nowMillis();
        fleet.repeat(300, 60_000, count -> fleet.sendCrashing(1, fleet.prompt("shared", "bad")));
        fleet.run(2_000);
        fleet.restartAll();
        fleet.repeat(700, 50_000, count -> sound.add(fleet.sendSound(count % 3, fleet.prompt("shared"))));
        fleet.run(60_000);
        assertTrue(servedShareAfter(troubleAt + 2 * STABLE_MILLIS) > 0.9);
        assertCrashingPartIsBounded(fleet);
    }

    /** Guards against trials that only requests with the bad part get, since they come more often. */
    @Test
    void severalSoundPartsOfOnePromptAreServedAfterTrial() {
        VerdictFleet fleet = fleet(3);
        long troubleAt = fleet.nowMillis();
        fleet.repeat(200, 60_000, count -> fleet.sendCrashing(1, fleet.prompt("shared", "second", "bad")));
        fleet.run(1_500);
        fleet.repeat(700, 50_000, count -> sound.add(fleet.sendSound(0, fleet.prompt("shared", "second"))));
        fleet.run(60_000);
        assertTrue(servedShareAfter(troubleAt + 2 * STABLE_MILLIS) > 0.9);
        assertCrashingPartIsBounded(fleet);
    }

    /** Guards against a vouched part that goes on although it has begun to crash servers. */
    @Test
    void partThatBeginsToCrashServersIsBoundedAlthoughItWasServed() {
        VerdictFleet fleet = fleet(4);
        fleet.repeat(100, 5_000, count -> fleet.sendSound(count % 3, fleet.prompt("turned")));
        fleet.run(5_200);
        fleet.repeat(300, 120_000, count -> fleet.sendCrashing(count % 3, fleet.prompt("turned")));
        fleet.run(130_000);
        assertCrashingPartIsBounded(fleet);
    }

    /** Guards against equal sound requests that are refused for good after several servers ended at one moment. */
    @Test
    void lookupsAreServedAfterServersEndedAtOneMoment() {
        VerdictFleet fleet = fleet(5);
        fleet.repeat(20, 30_000, count -> sound.add(fleet.sendSound(count % 3, LOOKUP)));
        fleet.run(10_000);
        fleet.crashBusiest(2);
        long crashedAt = fleet.nowMillis();
        fleet.run(25_000);
        assertTrue(servedShareAfter(crashedAt) > 0.95);
        assertEquals(1, servedShareAfter(crashedAt + STABLE_MILLIS));
    }

    /** Guards against a wrong quarantine that no request in flight can end, within a series of joint ends. */
    @Test
    void rareLookupsAreServedAfterServersEndedAtOneMomentAgainAndAgain() {
        VerdictFleet fleet = fleet(6);
        for (int round = 0; round < 8; round++) {
            fleet.sendSound(0, LOOKUP);
            fleet.sendSound(1, LOOKUP);
            fleet.run(40);
            fleet.crashBusiest(4);
            fleet.run(2_000);
            for (int number = 0; number < 3; number++) {
                fleet.sendSound(number, LOOKUP);
            }
            fleet.run(2_000);
            VerdictFleet.Request later = fleet.sendSound(2, LOOKUP);
            fleet.run(500);
            assertTrue(later.isServed(), "round " + round);
        }
    }

    /** Guards against a quarantine that outlasts the restart of everything. */
    @Test
    void lookupsAreServedAfterRestartOfEverything() {
        VerdictFleet fleet = fleet(7);
        fleet.sendSound(0, LOOKUP);
        fleet.sendSound(1, LOOKUP);
        fleet.run(40);
        fleet.crashBusiest(2);
        fleet.run(100);
        fleet.restartAll();
        long backAt = fleet.nowMillis();
        fleet.repeat(100, 10_000, count -> sound.add(fleet.sendSound(count % 3, LOOKUP)));
        fleet.run(11_000);
        assertEquals(1, servedShareAfter(backAt + STABLE_MILLIS));
    }

    /** Guards against trials by which a request that does crash servers goes on, whoever sends it and how often. */
    @Property(seed = "20261207", tries = 60)
    void requestThatCrashesServersIsBounded(@ForAll long seed) {
        VerdictFleet fleet = fleet(seed);
        CrashSuspects crashing = VerdictFleet.lookup("crashing");
        long period = 50 + Math.floorMod(seed, 20) * 100;
        int atOnce = 1 + (int) Math.floorMod(seed >> 8, 4L);
        fleet.repeat(period, 100_000, count -> {
            for (int number = 0; number < atOnce; number++) {
                fleet.sendCrashing((count + number) % ENTRY_COUNT, crashing);
            }
        });
        fleet.repeat(500, 100_000, count -> fleet.sendSound(count % ENTRY_COUNT, LOOKUP));
        fleet.run(5_000);
        fleet.restart(1);
        fleet.run(20_000);
        fleet.restartAll();
        fleet.run(80_000);
        assertCrashingRequestIsBounded(fleet);
        VerdictFleet.Request last = fleet.sendSound(0, LOOKUP);
        fleet.run(1_000);
        assertTrue(last.isServed());
    }

    /** Guards against trials by which a part that does crash servers goes on, beside sound ones. */
    @Property(seed = "20261207", tries = 60)
    void partThatCrashesServersIsBounded(@ForAll long seed) {
        VerdictFleet fleet = fleet(seed);
        long period = 50 + Math.floorMod(seed, 20) * 100;
        fleet.repeat(
                period,
                100_000,
                count -> fleet.sendCrashing(count % ENTRY_COUNT, fleet.prompt("a" + count % 2, "bad")));
        fleet.repeat(
                500, 100_000, count -> sound.add(fleet.sendSound(count % ENTRY_COUNT, fleet.prompt("a" + count % 4))));
        fleet.run(5_000);
        fleet.restart(1);
        fleet.run(20_000);
        fleet.restartAll();
        long restartedAt = fleet.nowMillis();
        fleet.run(80_000);
        assertCrashingPartIsBounded(fleet);
        assertTrue(servedShareAfter(restartedAt) > 0.9);
        sound.clear();
    }

    /** Guards against quarantines of an earlier build that never end, and against trials that it would not count. */
    @Test
    void quarantinesOfAnEarlierBuildEndAfterTheUpgrade() {
        VerdictFleet fleet = new VerdictFleet(ENTRY_COUNT, SERVER_COUNT, 8, false);
        CrashSuspects crashing = VerdictFleet.lookup("crashing");
        fleet.sendSound(0, LOOKUP);
        fleet.sendSound(1, LOOKUP);
        fleet.run(40);
        fleet.crashBusiest(2);
        for (int number = 0; number < ENTRY_COUNT; number++) {
            fleet.sendCrashing(number, crashing);
        }
        fleet.run(10_000);
        VerdictFleet.Request early = fleet.sendSound(0, LOOKUP);
        fleet.run(1_000);
        assertTrue(early.isRefused());
        fleet.upgradeControlVms();
        fleet.repeat(300, 80_000, count -> fleet.sendCrashing(count % ENTRY_COUNT, crashing));
        fleet.run(1_500);
        VerdictFleet.Request later = fleet.sendSound(1, LOOKUP);
        fleet.run(85_000);
        assertTrue(later.isServed());
        assertCrashingRequestIsBounded(fleet);
    }
}
