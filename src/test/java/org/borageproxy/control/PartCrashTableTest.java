package org.borageproxy.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.borageproxy.wire.proto.ControlProtocol.CrashState;
import org.borageproxy.wire.proto.ControlProtocol.SuspectPart;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PartCrashTableTest {

    private final Map<String, CrashState> published = new HashMap<>();
    private final PartCrashTable table =
            new PartCrashTable(state -> published.put(state.getFingerprint(), state), published::remove);
    private long now = 1;

    private static SuspectPart untested(String part) {
        return SuspectPart.newBuilder().setFingerprint(part).setUntested(true).build();
    }

    private static SuspectPart tested(String part) {
        return SuspectPart.newBuilder().setFingerprint(part).build();
    }

    private void crash(String server, SuspectPart... parts) {
        table.report(Arrays.asList(parts), server + "@1", now);
    }

    private boolean isQuarantined(String part) {
        return published.containsKey(part) && published.get(part).getQuarantined();
    }

    /** Guards against one server after the other crashing under requests that share one part of their prompts. */
    @Test
    void fourthCrashQuarantinesPart() {
        for (int server = 1; server <= 3; server++) {
            crash("s" + server, untested("guilty"));
            crash("s" + server, untested("guilty"));
            assertFalse(isQuarantined("guilty"));
        }
        crash("s4", untested("guilty"));
        assertTrue(isQuarantined("guilty"));
    }

    /** Guards against refusing requests that share a sound part with those that crash servers. */
    @Test
    void testedPartIsNotCountedForCrashThatUntestedPartExplains() {
        for (int server = 1; server <= 6; server++) {
            crash("s" + server, tested("shared"));
            crash("s" + server, untested("guilty"));
        }
        assertTrue(isQuarantined("guilty"));
        assertFalse(isQuarantined("shared"));
    }

    /** Guards against a part that begins to crash servers after requests with it have succeeded. */
    @Test
    void testedPartIsQuarantinedIfNothingElseExplainsTheCrashes() {
        for (int server = 1; server <= 4; server++) {
            crash("s" + server, tested("turned"));
        }
        assertTrue(isQuarantined("turned"));
    }

    /** Guards against a sound part that is refused since the VMs that report the crashes have not served it. */
    @Test
    void partThatAnotherVmVouchesForIsNotCountedForCrashesThatOthersExplain() {
        for (int server = 1; server <= 4; server++) {
            crash("s" + server, untested("shared"), untested("guilty"));
        }
        assertTrue(isQuarantined("shared"));
        table.vouch("shared", now);
        assertFalse(isQuarantined("shared"));
        for (int server = 5; server <= 9; server++) {
            crash("s" + server, untested("shared"), untested("guilty"));
        }
        assertFalse(isQuarantined("shared"));
        assertTrue(isQuarantined("guilty"));
        now += PartCrashTable.VOUCHED_MILLIS;
        for (int server = 10; server <= 13; server++) {
            crash("s" + server, untested("shared"), untested("guilty"));
        }
        assertTrue(isQuarantined("shared"));
    }

    /** Guards against a part that goes on crashing servers since a VM vouches for it. */
    @Test
    void vouchedPartIsQuarantinedIfNothingElseExplainsTheCrashes() {
        crash("s1", untested("turned"));
        table.vouch("turned", now);
        for (int server = 2; server <= 4; server++) {
            crash("s" + server, untested("turned"));
        }
        assertTrue(isQuarantined("turned"));
        table.vouch("turned", now);
        assertTrue(isQuarantined("turned"));
    }

    @Test
    void successEndsSuspicionAndQuarantine() {
        for (int server = 1; server <= 4; server++) {
            crash("s" + server, untested("innocent"));
        }
        assertTrue(isQuarantined("innocent"));
        table.clear("innocent");
        assertFalse(published.containsKey("innocent"));
        crash("s5", untested("innocent"));
        assertFalse(isQuarantined("innocent"));
    }

    @Test
    void partExpiresAfterItsLastCrash() {
        crash("s1", untested("guilty"));
        now += PartCrashTable.RETENTION_MILLIS - 1;
        table.expire(now);
        assertTrue(published.containsKey("guilty"));
        now++;
        table.expire(now);
        assertEquals(Map.of(), published);
    }

    /** Guards against a restarted control VM that forgets which parts crash servers. */
    @Test
    void snapshotKeepsCrashesAndExplanations() {
        for (int server = 1; server <= 3; server++) {
            crash("s" + server, untested("guilty"));
        }
        PartCrashTable restored =
                new PartCrashTable(state -> published.put(state.getFingerprint(), state), published::remove);
        List<CrashState> states = new ArrayList<>();
        table.states().forEach(states::add);
        restored.load(states);
        assertTrue(restored.isExplained("s1@1"));
        restored.report(List.of(untested("guilty")), "s4@1", now);
        assertTrue(isQuarantined("guilty"));
    }

    /**
     * Guards against both a guilty part that goes on and a sound one that stays refused: reports of several VMs, some
     * lost, and successes arrive in random order.
     */
    @Property(seed = "20261204")
    void guiltyPartIsQuarantinedAndSoundPartsAreNotForLong(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, CrashState> view = new HashMap<>();
        PartCrashTable fresh = new PartCrashTable(state -> view.put(state.getFingerprint(), state), view::remove);
        int reported = 0;
        for (int server = 0; server < 12; server++) {
            List<Runnable> events = new ArrayList<>();
            String crash = "s" + server + "@" + server;
            boolean isReported = random.nextInt(5) > 0;
            if (isReported) {
                reported++;
                events.add(() -> fresh.report(List.of(untested("guilty")), crash, 1));
            }
            for (int bystander = 0; bystander < 3; bystander++) {
                String part = "sound" + random.nextInt(4);
                events.add(() -> fresh.report(List.of(tested(part)), crash, 1));
            }
            Collections.shuffle(events, random);
            events.forEach(Runnable::run);
            String answered = "sound" + random.nextInt(4);
            fresh.clear(answered);
            assertFalse(view.containsKey(answered));
        }
        assertEquals(
                reported >= PartCrashTable.QUARANTINE_CRASH_COUNT,
                view.containsKey("guilty") && view.get("guilty").getQuarantined());
    }
}
