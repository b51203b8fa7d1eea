package org.borageproxy.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.borageproxy.routing.EngineWork;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A pure model of one burst: requests begin in a given order as far as the work of each step allows, and are refused
 * once they could no longer end before their deadline. It compares orders, not servers.
 */
class BurstModelTest {

    private static final long MILLI = 1_000_000L;
    private static final int STEP_MILLIS = 10;
    /** Servers' work in each step; the burst asks for about 1.4 times as much. */
    private static final double WORK_PER_STEP = 300;

    private record Kind(String name, int rank, double perSecond, int promptTokens, int objective, int deadline) {}

    private static final Kind URGENT = new Kind("urgent", 4, 124, 1_500, 805, 5_029);
    private static final Kind LONG = new Kind("long", 5, 37, 3_000, 1_504, 15_037);
    private static final Kind TOLERANT = new Kind("tolerant", 6, 30, 4_000, 10_005, 15_007);

    private static final class Outcome {
        private int asked;
        private int inTime;
        private int begun;

        @Override
        public String toString() {
            return asked + " asked, " + inTime + " in time, " + (begun - inTime) + " late, " + (asked - begun)
                    + " refused";
        }
    }

    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final WaitingQueue queue = new WaitingQueue();
    private final RecentService served = new RecentService();
    private List<Waiting> plainQueue = new ArrayList<>();
    private double room;
    private long stepNanos;

    private record Waiting(WaitingRequest request, Kind kind, String workspace, long number) {}

    /** Plays 30 s with a burst of tolerant requests, five sixths of them of one workspace, from 5 s to 15 s. */
    private void play(Optional<Comparator<Waiting>> order) {
        Random random = new Random(1);
        long number = 0;
        for (long millis = 0; millis < 30_000; millis += STEP_MILLIS) {
            long nowNanos = millis * MILLI;
            room = Math.min(WORK_PER_STEP, room + WORK_PER_STEP);
            for (Kind kind : List.of(URGENT, LONG, TOLERANT)) {
                boolean isBurst = kind == TOLERANT && millis >= 5_000 && millis < 15_000;
                double expected = kind.perSecond() * (isBurst ? 4.4 : 1) * STEP_MILLIS / 1e3;
                while (random.nextDouble() < expected) {
                    expected--;
                    String workspace = isBurst && random.nextInt(6) > 0 ? "heavy" : "w" + random.nextInt(4);
                    number++;
                    arrive(kind, workspace, number, nowNanos, order.isPresent());
                }
            }
            if (order.isPresent()) {
                beginInOrder(order.get(), nowNanos);
            } else {
                refuseExpired(nowNanos);
                queue.retry(lane -> true, nowNanos);
            }
        }
    }

    private void arrive(Kind kind, String workspace, long number, long nowNanos, boolean isPlain) {
        int tokens = kind.promptTokens() / 2 + (int) (number * 7919 % kind.promptTokens());
        EngineWork work = new EngineWork("m", "", tokens, 0, List.of());
        RequestCost cost = RequestCost.of(
                kind.rank(),
                false,
                workspace,
                Optional.of(work),
                new RequestCost.Times(
                        nowNanos,
                        Duration.ZERO,
                        Duration.ofMillis(kind.objective()),
                        Duration.ofMillis(kind.deadline())));
        Waiting[] self = new Waiting[1];
        WaitingRequest request =
                new WaitingRequest(new WaitingRequest.Lane("s", "m", "", ""), cost, Long.toString(number), () -> {
                    if (room > 0) {
                        queue.remove(self[0].request());
                        plainQueue.remove(self[0]);
                        begin(self[0], stepNanos);
                    }
                });
        self[0] = new Waiting(request, kind, workspace, number);
        outcomes.computeIfAbsent(kind.name(), name -> new Outcome()).asked++;
        outcomes.computeIfAbsent(kind.name() + " light", name -> new Outcome()).asked +=
                workspace.equals("heavy") ? 0 : 1;
        plainQueue.add(self[0]);
        if (!isPlain) {
            queue.add(request);
        }
    }

    private void begin(Waiting waiting, long nowNanos) {
        RequestCost cost = waiting.request().cost();
        room -= cost.workMillis();
        queue.recordStart(cost, nowNanos);
        served.record(
                new RequestCost(
                        0, false, cost.workspace(), cost.workMillis(), cost.objectiveStart(), cost.latestStart()),
                nowNanos);
        for (String name : waiting.workspace().equals("heavy")
                ? List.of(waiting.kind().name())
                : List.of(waiting.kind().name(), waiting.kind().name() + " light")) {
            outcomes.get(name).begun++;
            outcomes.get(name).inTime += cost.isLate(nowNanos) ? 0 : 1;
        }
    }

    private void refuseExpired(long nowNanos) {
        stepNanos = nowNanos;
        List<Waiting> kept = new ArrayList<>();
        for (Waiting waiting : plainQueue) {
            if (waiting.request().cost().latestStart().hasPassed(nowNanos)) {
                queue.remove(waiting.request());
            } else {
                kept.add(waiting);
            }
        }
        plainQueue = kept;
    }

    private void beginInOrder(Comparator<Waiting> order, long nowNanos) {
        refuseExpired(nowNanos);
        while (room > 0 && !plainQueue.isEmpty()) {
            Waiting first = plainQueue.stream().min(order).orElseThrow();
            plainQueue.remove(first);
            begin(first, nowNanos);
        }
    }

    private double share(String name, boolean isInTime) {
        Outcome outcome = outcomes.get(name);
        return (isInTime ? outcome.inTime : outcome.begun) / (double) outcome.asked;
    }

    /**
     * Load pattern: a burst of delay-tolerant work of one heavy workspace beside urgent work. No urgent request is
     * late, no kind is served less than a less urgent one, and the other workspaces lose none of theirs.
     */
    @Test
    void leastCostServesUrgentWorkAndLightWorkspaces() {
        play(Optional.empty());
        assertTrue(share("urgent", true) >= 0.99, outcomes.toString());
        assertTrue(share("long", true) >= 0.95, outcomes.toString());
        assertTrue(share("tolerant light", false) >= 0.95, outcomes.toString());
        assertTrue(share("tolerant", true) >= 0.85, outcomes.toString());
    }

    /** Shows why workspaces are told apart: by rank and arrival alone, the burst of one costs the others theirs. */
    @Test
    void strictPriorityRefusesRequestsOfLightWorkspaces() {
        play(Optional.of(
                Comparator.comparingInt((Waiting each) -> each.kind().rank()).thenComparingLong(Waiting::number)));
        assertTrue(share("urgent", true) >= 0.99, outcomes.toString());
        assertTrue(share("tolerant light", false) < 0.95, outcomes.toString());
    }

    /** Shows why rank, objective and work are considered: by workspace and arrival alone, more requests are late. */
    @Test
    void fairQueueingAloneServesLessInTime() {
        play(Optional.of(Comparator.comparingDouble((Waiting each) -> served.millis(0, each.workspace(), stepNanos))
                .thenComparingLong(Waiting::number)));
        assertTrue(share("tolerant light", false) >= 0.95, outcomes.toString());
        assertTrue(share("tolerant", true) < 0.85, outcomes.toString());
    }
}
