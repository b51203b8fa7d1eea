package org.borageproxy.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerSelectorTest {

    private static final AvailabilityZone ZONE = BackendServerFixture.ZONE;
    private static final EnginePool POOL = new EnginePool(64, 100_000, 2, 200_000, 8, 2, Map.of());
    private static final EngineWork WORK = new EngineWork(
            "m", "", 2_400, 40, List.of(new EngineWork.PromptPart("p", 570), new EngineWork.PromptPart("q", 1_830)));

    private static ServerSelector.Candidate candidate(String name, ServerLoad load) {
        BackendServer server = BackendServerFixture.engine(name);
        return new ServerSelector.Candidate(server, load, 1.0, 1.0);
    }

    private static ServerLoad idleLoad() {
        return new ServerLoad(BackendServerFixture.INCARNATION, 100_000, 0);
    }

    private static Optional<String> choose(List<ServerSelector.Candidate> candidates) {
        ServerSelector.Query query = new ServerSelector.Query(Optional.of(WORK), Optional.of(POOL), ZONE, Set.of());
        return ServerSelector.INSTANCE
                .choose(query, candidates, 1, new Random(1))
                .map(chosen -> chosen.server().name().value());
    }

    @Test
    void cachedPrefixOutweighsSlightlyHigherLoad() {
        ServerLoad keeps = idleLoad();
        keeps.prefixCache().recordPrompt(WORK);
        keeps.recordStart(200, 2_000);
        assertEquals(Optional.of("keeps"), choose(List.of(candidate("idle", idleLoad()), candidate("keeps", keeps))));
    }

    /**
     * Guards against stalled streams in a burst of prompts: an engine with a prefill backlog of a third of a second
     * gets no further ones.
     */
    @Test
    void promptBurstIsSpreadEvenlyAndThenLimited() {
        ServerLoad one = idleLoad();
        ServerLoad two = idleLoad();
        int sent = 0;
        for (int index = 0; index < 20; index++) {
            Optional<String> chosen = choose(List.of(candidate("one", one), candidate("two", two)));
            if (chosen.isPresent()) {
                ServerLoad load = chosen.get().equals("one") ? one : two;
                load.recordStart(2_400, 2_440);
                sent++;
            }
        }
        assertTrue(sent >= 2 && sent <= 6, "sent " + sent);
        assertTrue(Math.abs(one.totalPrefillTokens() - two.totalPrefillTokens()) <= 2_400);
    }

    @Test
    void failingServerIsChosenOnlyWithoutAlternative() {
        ServerLoad failing = idleLoad();
        failing.recordFailure(0);
        assertEquals(
                Optional.of("sound"), choose(List.of(candidate("failing", failing), candidate("sound", idleLoad()))));
        assertEquals(Optional.of("failing"), choose(List.of(candidate("failing", failing))));
    }

    @Test
    void serverWithFullMemoryIsNotChosen() {
        ServerLoad full = idleLoad();
        full.setOtherVmLoad(40, 0, 99_000);
        assertTrue(choose(List.of(candidate("full", full))).isEmpty());
    }

    private static ServerSelector.Candidate candidate(String name, ServerLoad load, double speed) {
        return new ServerSelector.Candidate(BackendServerFixture.engine(name), load, 1.0, speed);
    }

    /** Pattern: two zones whose peaks do not coincide. */
    @Test
    void workLeavesZoneOnlyWhenWaitAtHomeExceedsCostOfPath() {
        BackendServer remote =
                BackendServerFixture.inZone(BackendServerFixture.engine("remote"), new AvailabilityZone("b"));
        ServerLoad home = idleLoad();
        List<ServerSelector.Candidate> candidates =
                List.of(candidate("home", home), new ServerSelector.Candidate(remote, idleLoad(), 1.0, 1.0));
        home.recordStart(400, 440);
        assertEquals(Optional.of("home"), choose(candidates));
        home.recordStart(800, 840);
        assertEquals(Optional.of("remote"), choose(candidates));
    }

    /** Guards against slow engines whose running streams stall: their backlog is limited in time, not in tokens. */
    @Test
    void prefillBacklogLimitScalesWithSpeed() {
        ServerLoad load = idleLoad();
        load.recordStart(2_400, 2_440);
        assertTrue(choose(List.of(candidate("usual", load, 1.0))).isPresent());
        assertTrue(choose(List.of(candidate("slow", load, 0.7))).isEmpty());
    }

    /** Guards against other decisions on a fleet of equal servers: the terms for uneven servers must not apply. */
    @Test
    void tolerantRequestIsTreatedAsOthersIfServersAreEqual() {
        ServerLoad busy = idleLoad();
        busy.recordStart(300, 340);
        ServerSelector.Query tolerant = new ServerSelector.Query(
                Optional.of(WORK), Optional.of(POOL), ZONE, Set.of(), ServerSelector.toleratedMillis(10_000), 1);
        for (int seed = 0; seed < 20; seed++) {
            String chosen = ServerSelector.INSTANCE
                    .choose(
                            tolerant,
                            List.of(candidate("busy", busy), candidate("idle", idleLoad())),
                            1,
                            new Random(seed))
                    .orElseThrow()
                    .server()
                    .name()
                    .value();
            assertEquals("idle", chosen);
        }
    }
}
