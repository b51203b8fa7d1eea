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
    /** The crash of a part of prompts from which on it could be known. */
    private static final int KNOWN_PART_CRASH = 5;

    private static final int ENTRY_COUNT = 3;
    private static final int SERVER_COUNT = 12;

    private final List<VerdictFleet.Request> sound = new ArrayList<>();

    private static VerdictFleet fleet(long seed) {
        return new VerdictFleet(ENTRY_COUNT, SERVER_COUNT, seed);
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
}
