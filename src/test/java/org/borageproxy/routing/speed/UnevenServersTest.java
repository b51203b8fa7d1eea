package org.borageproxy.routing.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Selects among engines of different speed, whose speeds are learned from their answers, in virtual time. Each pattern
 * is compared with the same selection with full knowledge of the speeds, with one that assumes equal speeds, and with
 * one that knows which engine would complete the first event soonest.
 */
class UnevenServersTest {

    private static final double STEP_MILLIS = 10.5;
    private static final int PROMPT_TOKENS = 600;
    private static final int OUTPUT_TOKENS = 60;
    private static final int TOKENS_PER_EVENT = 3;
    /** Latency objective of urgent streams. */
    private static final double OBJECTIVE_MILLIS = 805;
    /** Target for the busiest server in relation to the mean speed-weighted load. */
    private static final double MAX_IMBALANCE = 1.3;

    private static final Duration WARM_UP = Duration.ofSeconds(15);
    private static final EnginePool POOL = new EnginePool(64, 121_339, 2, 200_000, 8, 2, Map.of());
    private static final EngineWork WORK = new EngineWork("m", "", PROMPT_TOKENS, OUTPUT_TOKENS, List.of());

    /** Selects an engine for a request. */
    private interface Policy {
        Optional<ServerSelector.Choice> choose(Fleet fleet, double toleratedMillis);
    }

    private static final Policy LEARNED = (fleet, tolerated) -> fleet.choose(fleet.speeds::speedOf, tolerated);
    private static final Policy EQUAL = (fleet, tolerated) -> fleet.choose(ServerSpeeds.EQUAL, tolerated);
    private static final Policy FULL_KNOWLEDGE = (fleet, tolerated) ->
            fleet.choose((server, nowNanos) -> fleet.engine(server).speed(fleet.nowMillis()), tolerated);
    private static final Policy SOONEST = (fleet, tolerated) -> fleet.engines.stream()
            .filter(engine -> engine.load.totalRequests() < POOL.batchSlots())
            .min(Comparator.comparingDouble(engine -> engine.firstEventMillis(fleet.nowMillis())))
            .map(engine -> new ServerSelector.Choice(engine.server, 100, PROMPT_TOKENS, 1.0));

    /** One engine, which reads prompts one after another and slows down in disturbances. */
    private static final class Engine {
        private final BackendServer server;
        private final ServerLoad load = new ServerLoad(BackendServerFixture.INCARNATION, 100_000, 0);
        private final double usualSpeed;
        private double disturbedUntilMillis;
        private double busyUntilMillis;
        private double weightedLoadSum;
        private int requests;

        private Engine(String name, double usualSpeed) {
            this.server = BackendServerFixture.engine(name, "m");
            this.usualSpeed = usualSpeed;
        }

        private double speed(double atMillis) {
            return atMillis < disturbedUntilMillis ? usualSpeed / 2.5 : usualSpeed;
        }

        private double prefillEndMillis(double nowMillis) {
            double begin = Math.max(nowMillis, busyUntilMillis);
            return begin + PROMPT_TOKENS / ServerSelector.PREFILL_TOKENS_PER_MILLISECOND / speed(nowMillis);
        }

        private double firstEventMillis(double nowMillis) {
            return prefillEndMillis(nowMillis) + 2 * STEP_MILLIS / speed(nowMillis);
        }
    }

    private static final class Fleet {
        private final VirtualTime time = new VirtualTime(1);
        private final Random random = new Random(3);
        private final LearnedSpeeds speeds = new LearnedSpeeds();
        private final List<Engine> engines = new ArrayList<>();
        private final Policy policy;
        private final double arrivalsPerSecond;
        private final List<Double> firstEventMillis = new ArrayList<>();
        private double toleratedMillis;
        private int refused;

        private Fleet(Policy policy, double arrivalsPerSecond, double... speedsOfEngines) {
            this.policy = policy;
            this.arrivalsPerSecond = arrivalsPerSecond;
            for (double speed : speedsOfEngines) {
                engines.add(new Engine("e" + engines.size(), speed));
            }
        }

        private double nowMillis() {
            return time.nowNanos() / 1e6;
        }

        private Optional<ServerSelector.Choice> choose(ServerSpeeds known, double toleratedMillis) {
            ServerSelector.Query query = new ServerSelector.Query(
                    Optional.of(WORK), Optional.of(POOL), BackendServerFixture.ZONE, Set.of(), toleratedMillis, 1);
            List<ServerSelector.Candidate> candidates = engines.stream()
                    .map(engine -> new ServerSelector.Candidate(
                            engine.server, engine.load, 1.0, known.speedOf(engine.server, time.nowNanos())))
                    .toList();
            return ServerSelector.INSTANCE.choose(query, candidates, time.nowNanos(), random);
        }

        private Engine engine(BackendServer server) {
            return engines.stream()
                    .filter(engine -> engine.server.equals(server))
                    .findFirst()
                    .orElseThrow();
        }

        private void run(Duration duration) {
            long endNanos = time.nowNanos() + duration.toNanos();
            while (time.nowNanos() < endNanos) {
                send(toleratedMillis);
                double gapMillis = -Math.log(1 - random.nextDouble()) * 1e3 / arrivalsPerSecond;
                time.advance(Duration.ofNanos((long) (gapMillis * 1e6)));
            }
        }

        private void send(double toleratedMillis) {
            Optional<ServerSelector.Choice> choice = policy.choose(this, toleratedMillis);
            if (choice.isEmpty()) {
                refused++;
                return;
            }
            Engine engine = engine(choice.get().server());
            double sentAt = nowMillis();
            double firstEventAt = engine.firstEventMillis(sentAt);
            engine.busyUntilMillis = engine.prefillEndMillis(sentAt);
            engine.load.recordStart(PROMPT_TOKENS, WORK.totalTokens());
            engine.requests++;
            time.scheduleAfterNanos((long) ((firstEventAt - sentAt) * 1e6), () -> {
                engine.load.recordPrefillEnd(PROMPT_TOKENS);
                double millis = nowMillis() - sentAt;
                firstEventMillis.add(millis);
                double predicted = choice.get().expectedMillis() * choice.get().speed();
                speeds.record(
                        engine.server, new SlownessSample(Math.log(millis / predicted), 1, 0, 0), time.nowNanos());
                continueStream(engine, OUTPUT_TOKENS);
            });
        }

        /** Produces three events at a time, until all tokens are out. */
        private void continueStream(Engine engine, int remainingTokens) {
            int tokens = 3 * TOKENS_PER_EVENT;
            double stepMillis = ServerSelector.stepMillis(engine.load);
            double durationMillis = tokens * stepMillis / engine.speed(nowMillis());
            time.scheduleAfterNanos((long) (durationMillis * 1e6), () -> {
                double pause = durationMillis / 3 / stepMillis;
                speeds.record(engine.server, new SlownessSample(0, 0, Math.log(pause), 3), time.nowNanos());
                if (remainingTokens > tokens) {
                    continueStream(engine, remainingTokens - tokens);
                } else {
                    engine.load.recordEnd(WORK.totalTokens());
                }
            });
        }

        private void measure(Duration duration) {
            firstEventMillis.clear();
            refused = 0;
            sampleLoads(duration);
            run(duration);
        }

        private void sampleLoads(Duration remaining) {
            if (!remaining.isZero()) {
                time.scheduleAfterMillis(50, () -> {
                    engines.forEach(
                            engine -> engine.weightedLoadSum += engine.load.totalRequests() / engine.usualSpeed);
                    sampleLoads(remaining.minusMillis(50));
                });
            }
        }

        /** Disturbs one engine after another, each for 600 ms. */
        private void disturbNext(int index) {
            engines.get(index % engines.size()).disturbedUntilMillis = nowMillis() + 600;
            time.scheduleAfterMillis(400, () -> disturbNext(index + 1));
        }

        private int requestsAbove(double speed) {
            return engines.stream()
                    .filter(engine -> engine.usualSpeed > speed)
                    .mapToInt(engine -> engine.requests)
                    .sum();
        }

        private double imbalance() {
            double mean = engines.stream()
                    .mapToDouble(engine -> engine.weightedLoadSum)
                    .average()
                    .orElseThrow();
            return engines.stream()
                            .mapToDouble(engine -> engine.weightedLoadSum)
                            .max()
                            .orElseThrow()
                    / mean;
        }

        private double onTimeShare() {
            long onTime = firstEventMillis.stream()
                    .filter(millis -> millis <= OBJECTIVE_MILLIS)
                    .count();
            return onTime / (double) (firstEventMillis.size() + refused);
        }

        private double meanMillis() {
            return firstEventMillis.stream()
                    .mapToDouble(Double::doubleValue)
                    .average()
                    .orElseThrow();
        }

        private String figures() {
            return String.format(
                    "busiest/mean=%.2f on-time=%.3f mean-ms=%.0f refused=%d",
                    imbalance(), onTimeShare(), meanMillis(), refused);
        }
    }

    private static final double[] UNEVEN = {0.7, 1, 1.7, 0.7, 1, 1, 0.7, 1, 1.7, 0.7, 1, 1};

    private static Fleet fleet(Policy policy, double load, double... speeds) {
        double capacity = 0;
        for (double speed : speeds) {
            capacity += speed * ServerSelector.PREFILL_TOKENS_PER_MILLISECOND * 1e3 / PROMPT_TOKENS;
        }
        return new Fleet(policy, capacity * load, speeds);
    }

    private static Fleet measured(Fleet fleet) {
        fleet.run(WARM_UP);
        fleet.measure(Duration.ofSeconds(20));
        return fleet;
    }

    private static void report(String pattern, Function<Policy, Fleet> run) {
        System.out.println(
                pattern + " equal speeds assumed: " + run.apply(EQUAL).figures());
        System.out.println(
                pattern + " speeds known:         " + run.apply(FULL_KNOWLEDGE).figures());
        System.out.println(
                pattern + " soonest:              " + run.apply(SOONEST).figures());
    }

    /** Pattern: a third of the servers at 0.7 and some at 1.7 of the speed, at 30 to 90% of the prefill capacity. */
    @Test
    void unevenServersGetLoadInProportionToTheirSpeed() {
        for (double load : new double[] {0.3, 0.6, 0.9}) {
            Fleet learned = measured(fleet(LEARNED, load, UNEVEN));
            System.out.println("uneven " + load + " learned:  " + learned.figures());
            report("uneven " + load, policy -> measured(fleet(policy, load, UNEVEN)));
            assertTrue(learned.imbalance() < MAX_IMBALANCE, load + ": " + learned.figures());
            assertTrue(learned.onTimeShare() > 0.99, load + ": " + learned.figures());
        }
    }

    /** Pattern: each engine is 2.5 times slower for moments of 600 ms, in turn, on a fleet of equal engines. */
    @Test
    void disturbedEnginesGetLessWhileTheyAreDisturbed() {
        Fleet learned = measured(disturbed(LEARNED));
        System.out.println("disturbed learned: " + learned.figures());
        report("disturbed", policy -> measured(disturbed(policy)));
        assertTrue(learned.onTimeShare() > 0.99, learned.figures());
        assertTrue(learned.imbalance() < MAX_IMBALANCE, learned.figures());
    }

    private static Fleet disturbed(Policy policy) {
        Fleet fleet = fleet(policy, 0.6, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1);
        fleet.disturbNext(0);
        return fleet;
    }

    /** Pattern: requests that tolerate delays are alone for a while. They leave the fast servers to urgent ones. */
    @Test
    void tolerantRequestsUseSlowServersFirst() {
        Fleet urgent = measured(fleet(LEARNED, 0.15, UNEVEN));
        Fleet tolerant = fleet(LEARNED, 0.15, UNEVEN);
        tolerant.toleratedMillis = ServerSelector.toleratedMillis(10_005);
        measured(tolerant);
        assertTrue(tolerant.requestsAbove(1.5) < urgent.requestsAbove(1.5), tolerant.figures());
        assertTrue(tolerant.imbalance() < 2 * MAX_IMBALANCE, tolerant.figures());
    }
}
