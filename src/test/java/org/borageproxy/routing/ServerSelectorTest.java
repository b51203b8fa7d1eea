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

class ServerChoiceTest {

    private static final AvailabilityZone ZONE = BackendServerFixture.ZONE;
    private static final EnginePool POOL = new EnginePool(64, 100_000, 2, 200_000, 8, 2, Map.of());
    private static final EngineWork WORK = new EngineWork(
            "m", "", 2_400, 40, List.of(new EngineWork.PromptPart("p", 570), new EngineWork.PromptPart("q", 1_830)));

    private static ServerSelector.Candidate candidate(String name, ServerLoad use) {
        BackendServer server = BackendServerFixture.engine(name);
        return new ServerSelector.Candidate(server, use, 1.0);
    }

    private static ServerLoad use() {
        return new ServerLoad(BackendServerFixture.INCARNATION, 100_000, 0);
    }

    private static Optional<String> choose(List<ServerSelector.Candidate> candidates) {
        ServerSelector.Query query = new ServerSelector.Query(Optional.of(WORK), Optional.of(POOL), ZONE, Set.of());
        return ServerSelector.INSTANCE
                .choose(query, candidates, 1, new Random(1))
                .map(chosen -> chosen.server().name().value());
    }

    @Test
    void keptPromptPartsOutweighALittleMoreWork() {
        ServerLoad keeps = use();
        keeps.prefixCache().recordPrompt(WORK);
        keeps.recordStart(200, 2_000);
        assertEquals(Optional.of("keeps"), choose(List.of(candidate("idle", use()), candidate("keeps", keeps))));
    }

    /** Load pattern: a burst of prompts; an engine with a third of a second unread gets none until it has read them. */
    @Test
    void burstOfPromptsIsSpreadAndThenHeldBack() {
        ServerLoad one = use();
        ServerLoad two = use();
        int sent = 0;
        for (int index = 0; index < 20; index++) {
            Optional<String> chosen = choose(List.of(candidate("one", one), candidate("two", two)));
            if (chosen.isPresent()) {
                ServerLoad use = chosen.get().equals("one") ? one : two;
                use.recordStart(2_400, 2_440);
                sent++;
            }
        }
        assertTrue(sent >= 2 && sent <= 6, "sent " + sent);
        assertTrue(Math.abs(one.totalPrefillTokens() - two.totalPrefillTokens()) <= 2_400);
    }

    @Test
    void failingServerIsAvoidedWhileAnotherIsThere() {
        ServerLoad failing = use();
        failing.recordFailure(0);
        assertEquals(Optional.of("sound"), choose(List.of(candidate("failing", failing), candidate("sound", use()))));
        assertEquals(Optional.of("failing"), choose(List.of(candidate("failing", failing))));
    }

    @Test
    void fullMemoryAdmitsNothing() {
        ServerLoad full = use();
        full.setOtherVmLoad(40, 0, 99_000);
        assertTrue(choose(List.of(candidate("full", full))).isEmpty());
    }
}
