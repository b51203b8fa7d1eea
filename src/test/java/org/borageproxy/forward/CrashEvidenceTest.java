package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.execution.Fingerprint;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CrashEvidenceTest {

    private static final BackendServer SERVER = BackendServerFixture.engine("e", "m");
    private static final CrashSuspects SUSPECTS = new CrashSuspects(new Fingerprint("f"), List.of());

    private final VirtualTime time = new VirtualTime(1);
    private final List<String> reports = new ArrayList<>();
    private final CrashEvidence evidence = new CrashEvidence(new Recorder(), SUSPECTS, time::nowNanos);

    private final class Recorder implements NeverQuarantined {
        @Override
        public void reportConnectionLoss(CrashSuspects suspects, BackendServer server) {
            reports.add("loss");
        }

        @Override
        public void reportHarmless(CrashSuspects suspects) {
            reports.add("harmless");
        }
    }

    @Test
    void requestIsSuspectBeforeAndShortlyAfterItsFirstEvent() {
        evidence.recordAttempt();
        evidence.recordConnectionLoss(SERVER);
        evidence.recordAttempt();
        evidence.recordEvent();
        time.advance(Duration.ofMillis(100));
        evidence.recordEvent();
        evidence.recordConnectionLoss(SERVER);
        assertEquals(List.of("loss", "loss"), reports);
    }

    /** Guards against sound requests being suspects because they were running when a server crashed. */
    @Test
    void requestWhoseAnswerHasBegunIsNotSuspect() {
        evidence.recordAttempt();
        evidence.recordEvent();
        time.advance(Duration.ofMillis(251));
        evidence.recordEvent();
        evidence.recordConnectionLoss(SERVER);
        assertEquals(List.of("harmless"), reports);
    }

    @Test
    void answeredRequestIsHarmlessOnce() {
        evidence.recordAttempt();
        evidence.recordSuccess();
        evidence.recordSuccess();
        assertEquals(List.of("harmless"), reports);
    }

    @Test
    void lastPartOfPromptIsNoSuspect() {
        List<EngineWork.PromptPart> parts = List.of(
                new EngineWork.PromptPart("a", 1),
                new EngineWork.PromptPart("b", 1),
                new EngineWork.PromptPart("c", 1));
        Fingerprint request = new Fingerprint("f");
        CrashSuspects suspects = CrashSuspects.of(request, "s", parts);
        assertEquals(2, suspects.parts().size());
        assertTrue(suspects.parts().stream().allMatch(Fingerprint::isPart));
        assertEquals(
                List.of(), CrashSuspects.of(request, "s", parts.subList(0, 1)).parts());
        assertEquals(List.of(), CrashSuspects.of(request, "s", List.of()).parts());
    }
}
