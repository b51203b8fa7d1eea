package org.borageproxy.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.routing.EngineWork;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WaitingQueueTest {

    private static final long MILLI = 1_000_000L;
    private static final WaitingRequest.Lane LANE = new WaitingRequest.Lane("s", "m", "", "");

    private final WaitingQueue queue = new WaitingQueue();
    private final List<String> begun = new ArrayList<>();
    private int places;
    private long beganAtNanos;

    private WaitingRequest request(
            String identity, int rank, String workspace, int promptTokens, int objectiveMillis, long nowMillis) {
        EngineWork work = new EngineWork("m", "", promptTokens, 0, List.of());
        RequestCost.Times times = new RequestCost.Times(
                nowMillis * MILLI,
                Duration.ZERO,
                Duration.ofMillis(objectiveMillis),
                Duration.ofMillis(objectiveMillis + 5_000L));
        return request(identity, RequestCost.of(rank, false, workspace, Optional.of(work), times));
    }

    private WaitingRequest request(String identity, RequestCost cost) {
        WaitingRequest[] self = new WaitingRequest[1];
        self[0] = new WaitingRequest(LANE, cost, identity, () -> {
            if (places > 0) {
                places--;
                begun.add(identity);
                queue.remove(self[0]);
                queue.recordStart(cost, beganAtNanos);
            }
        });
        return self[0];
    }

    private void begin(int free, long nowMillis) {
        places = free;
        beganAtNanos = nowMillis * MILLI;
        queue.retry(lane -> true, nowMillis * MILLI);
    }

    /** Load pattern: a burst of delay-tolerant work beside urgent work. */
    @Test
    void urgentRequestsGoFirst() {
        queue.add(request("far", 6, "w", 500, 10_000, 0));
        queue.add(request("urgent", 4, "w", 500, 800, 0));
        begin(1, 0);
        assertEquals(List.of("urgent"), begun);
    }

    /** Load pattern: long prompts ahead of short ones. Guards against many short requests that miss their objective. */
    @Test
    void shortRequestsGoBeforeLongOnesThatAreDueABitEarlier() {
        queue.add(request("long", 5, "w", 9_000, 1_000, 0));
        queue.add(request("short", 5, "w", 300, 1_050, 0));
        begin(1, 0);
        assertEquals(List.of("short"), begun);
    }

    /** Guards against a queue in which every request begins too late, one after the other. */
    @Test
    void requestsThatCanMeetTheirObjectiveGoBeforeLateOnes() {
        queue.add(request("late", 5, "w", 500, 800, 0));
        queue.add(request("in time", 5, "w", 500, 3_000, 0));
        begin(2, 1_500);
        assertEquals(List.of("in time", "late"), begun);
    }

    /** Guards against a class that waits while an urgent request ahead of it fits nowhere. */
    @Test
    void requestBehindOneThatFitsNowhereIsTried() {
        List<String> tried = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            String name = "r" + number;
            RequestCost cost = request(name, 5, "w", 500, 1_000 + number, 0).cost();
            queue.add(new WaitingRequest(LANE, cost, name, () -> tried.add(name)));
        }
        queue.retry(lane -> true, 0);
        assertEquals(List.of("r0", "r1", "r2"), tried);
    }

    /**
     * Load pattern: two heavy workspaces, one of which sends six times as much, beside light ones of the same rank.
     * Those within their equal part lose nothing.
     */
    @Test
    void lightWorkspacesGetAllTheyAskBesideHeavyOnes() {
        Map<String, Integer> asked = new HashMap<>();
        for (long millis = 0; millis < 4_000; millis += 10) {
            add("heavy", 6, asked, millis);
            add("heavier", 12, asked, millis);
            if (millis % 20 == 0) {
                add("light", 1, asked, millis);
                add("lighter", 1, asked, millis);
            }
            // Room for three requests, where 19 arrive.
            begin(3, millis);
        }
        long light = begun.stream().filter("light"::equals).count();
        assertTrue(light >= 0.95 * asked.get("light"), light + " of " + asked.get("light"));
        long heavy = begun.stream().filter("heavy"::equals).count();
        long heavier = begun.stream().filter("heavier"::equals).count();
        assertEquals(1.0, (double) heavy / heavier, 0.1, heavy + " and " + heavier);
    }

    private void add(String workspace, int count, Map<String, Integer> asked, long nowMillis) {
        for (int number = 0; number < count; number++) {
            queue.add(request(
                    workspace,
                    request(workspace, 5, workspace, 500, 10_000, nowMillis).cost()));
        }
        asked.merge(workspace, count, Integer::sum);
    }

    /** Guards against a prediction that counts the queue of a heavy workspace for a light one. */
    @Test
    void workAheadCountsOtherWorkspacesOnlyAsFarAsTheyGoFirst() {
        for (int number = 0; number < 100; number++) {
            queue.add(request("h" + number, 5, "heavy", 500, 1_000, 0));
        }
        double one = 500 / 19.0;
        assertEquals(100 * one, queue.workAheadMillis(request("h", 5, "heavy", 500, 1_000, 0)), 0.1);
        assertEquals(one, queue.workAheadMillis(request("l", 5, "light", 500, 1_000, 0)), 0.1);
        assertEquals(0, queue.workAheadMillis(request("u", 4, "heavy", 500, 1_000, 0)), 0.1);
    }

    /** Guards against a coordinator that is busy with searches: an unchanged server causes none. */
    @Test
    void lanesWithoutChangeAreNotTried() {
        queue.add(request("r", 5, "w", 500, 1_000, 0));
        places = 1;
        queue.retry(lane -> false, 0);
        assertEquals(List.of(), begun);
        assertEquals(1, queue.size());
    }
}
