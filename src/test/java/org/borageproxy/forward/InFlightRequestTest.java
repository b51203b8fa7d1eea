package org.borageproxy.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.routing.speed.SlownessSample;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class InFlightRequestTest {

    private static final int PROMPT_TOKENS = 2_000;

    private final VirtualTime time = new VirtualTime(1);
    private final ServerLoad load = new ServerLoad(BackendServerFixture.INCARNATION, 100_000, time.nowNanos());

    private InFlightRequest begin(int promptTokens) {
        ServerSelector.Choice choice =
                new ServerSelector.Choice(BackendServerFixture.engine("e", "m"), 100, promptTokens, 1.0);
        EngineWork work = new EngineWork("m", "", promptTokens, 100, List.of());
        return new InFlightRequest(
                time::nowNanos, load, choice, Optional.of(work), new ModelLatencyRatios(), 0, () -> {});
    }

    private void receiveEvents(InFlightRequest request, int events, Duration pause) {
        for (int event = 1; event <= events; event++) {
            time.advance(pause);
            request.recordEvents(event, false);
        }
    }

    @Test
    void timesOfAServerWithoutOtherPromptsShowItsSpeed() {
        InFlightRequest request = begin(PROMPT_TOKENS);
        time.advance(Duration.ofMillis(100));
        request.recordResponse("s", true);
        receiveEvents(request, 7, Duration.ofMillis(12));
        SlownessSample sample = load.slowness().drain();
        assertEquals(1, sample.firstEvents());
        assertEquals(2, sample.pauses());
    }

    /**
     * Load pattern: a burst of prompts. Guards against a loaded server that counts as slow, which lowers the work that
     * it may take.
     */
    @Test
    void timesOfAServerThatReadsOtherPromptsDoNotShowItsSpeed() {
        InFlightRequest streaming = begin(PROMPT_TOKENS);
        time.advance(Duration.ofMillis(100));
        streaming.recordResponse("s", true);
        load.slowness().drain();
        InFlightRequest reading = begin(PROMPT_TOKENS);
        InFlightRequest behind = begin(PROMPT_TOKENS);
        receiveEvents(streaming, 7, Duration.ofMillis(60));
        reading.recordResponse("s", true);
        behind.recordResponse("s", true);
        SlownessSample sample = load.slowness().drain();
        assertEquals(1, sample.firstEvents(), "only the prompt that was read first");
        assertEquals(0, sample.pauses());
    }
}
