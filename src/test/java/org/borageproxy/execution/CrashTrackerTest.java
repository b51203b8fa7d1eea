package org.borageproxy.execution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CrashTrackerTest {

    private final Vertx vertx = Vertx.vertx();
    private final List<String> reported = new ArrayList<>();
    private final Map<String, Integer> probes = new HashMap<>();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    /** Returns a tracker whose probes find every server listening the first time and stopped the second time. */
    private CrashTracker trackerWithSlowlyExitingServers() {
        CrashProbe probe =
                server -> Future.succeededFuture(probes.merge(server.name().value(), 1, Integer::sum) > 1);
        ExecutionDependencies dependencies = new ExecutionDependencies(
                vertx,
                System::nanoTime,
                null,
                List::of,
                null,
                null,
                null,
                new Registry(),
                null,
                null,
                null,
                probe,
                null);
        Fingerprint fingerprint = new Fingerprint("f");
        return new CrashTracker(
                dependencies,
                new ExecutionRequest(
                        "r", Optional.empty(), "m", 1, 0, new Deadline(0), true, Optional.empty(), fingerprint));
    }

    @Test
    void crashesOfSlowlyExitingServersAreReportedByLossLimit() throws Exception {
        CrashTracker tracker = trackerWithSlowlyExitingServers();
        Future<Void> first = tracker.onConnectionLost(BackendServerFixture.engine("one"), false);
        assertTrue(first.isComplete());
        Future<Void> second = tracker.onConnectionLost(BackendServerFixture.engine("two"), true);
        assertFalse(second.isComplete());
        second.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertEquals(Set.of("one", "two"), Set.copyOf(reported));
        assertTrue(tracker.hasReachedLossLimit());
        assertTrue(tracker.isQuarantined());
    }

    private final class Registry implements CrashRegistry {
        @Override
        public Suspicion suspicion(Fingerprint fingerprint) {
            return Suspicion.NONE;
        }

        @Override
        public CompletionStage<Suspicion> reportCrash(
                Fingerprint fingerprint, BackendServerName server, long incarnation, boolean alone) {
            reported.add(server.value());
            return CompletableFuture.completedFuture(reported.size() > 1 ? Suspicion.QUARANTINED : Suspicion.SUSPECT);
        }

        @Override
        public void reportAnswered(Fingerprint fingerprint) {
            reported.clear();
        }
    }
}
