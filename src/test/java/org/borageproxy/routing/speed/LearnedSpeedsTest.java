package org.borageproxy.routing.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LearnedSpeedsTest {

    private static final int SERVERS = 12;
    /** Number of answers after which the speed of a server is identified. */
    private static final int IDENTIFYING_ANSWERS = 12;

    private final VirtualTime time = new VirtualTime(1);
    private final Random random = new Random(7);
    private final LearnedSpeeds speeds = new LearnedSpeeds();
    private final List<BackendServer> servers = new ArrayList<>();

    private void addServers(int count) {
        for (int index = 0; index < count; index++) {
            servers.add(BackendServerFixture.engine("e" + servers.size()));
        }
    }

    /** Records one answer, with a random error of the prediction and three times the pauses that it names. */
    private void answer(BackendServer server, double speed) {
        double firstEvent = Math.log(1.4 / speed) + random.nextGaussian() * 0.2;
        double pause = Math.log(3 / speed) + Math.abs(random.nextGaussian()) * 0.2;
        speeds.record(server, new SlownessSample(firstEvent, 1, pause, 3), time.nowNanos());
    }

    private void answers(int rounds, java.util.function.ToDoubleFunction<BackendServer> trueSpeed) {
        for (int round = 0; round < rounds; round++) {
            servers.forEach(server -> answer(server, trueSpeed.applyAsDouble(server)));
            time.advance(Duration.ofMillis(50));
        }
        time.advance(LearnedSpeeds.UPDATE_INTERVAL);
    }

    private double speedOf(int index) {
        return speeds.speedOf(servers.get(index), time.nowNanos());
    }

    /** Pattern: a third of the servers at 0.7 and some at 1.7 of the speed. */
    @Test
    void speedsAreIdentifiedWithinStatedNumberOfAnswers() {
        addServers(SERVERS);
        answers(IDENTIFYING_ANSWERS, server -> trueSpeed(servers.indexOf(server)));
        for (int index = 0; index < SERVERS; index++) {
            assertEquals(1.0, speedOf(index) / trueSpeed(index), 0.2, "server " + index);
        }
    }

    private static double trueSpeed(int index) {
        return index % 3 == 0 ? 0.7 : index % 6 == 1 ? 1.7 : 1.0;
    }

    /** Guards against different treatment of equal servers because of random errors of the predictions. */
    @Test
    void equalServersHaveTheSameSpeed() {
        addServers(SERVERS);
        for (int round = 0; round < 20; round++) {
            answers(10, server -> 1.0);
            for (int index = 0; index < SERVERS; index++) {
                assertEquals(1.0, speedOf(index), 0.1, "server " + index);
            }
        }
    }

    /** Pattern: disturbances of 600 ms at 2.5 times the usual duration. */
    @Test
    void disturbanceIsDetectedAndDoesNotChangeTheLastingSpeed() {
        addServers(SERVERS);
        answers(30, server -> 1.0);
        BackendServer disturbed = servers.get(0);
        for (int answer = 0; answer < 6; answer++) {
            answer(disturbed, 0.4);
            time.advance(Duration.ofMillis(100));
        }
        assertTrue(speedOf(0) < 0.65, "speed in the disturbance " + speedOf(0));
        assertEquals(1.0, speeds.lastingSpeedOf(disturbed, time.nowNanos()), 0.05);
        time.advance(Duration.ofMillis(400));
        assertEquals(1.0, speedOf(0), 0.05);
    }

    /**
     * A server that restarts or joins says nothing about itself yet; the earlier incarnation may be another machine.
     */
    @Test
    void newIncarnationStartsAtMedianOfPeers() {
        addServers(SERVERS);
        answers(IDENTIFYING_ANSWERS, server -> trueSpeed(servers.indexOf(server)));
        BackendServer restarted = BackendServerFixture.restarted(servers.get(0));
        servers.set(0, restarted);
        assertEquals(1.0, speedOf(0));
        answer(restarted, 1.0);
        assertEquals(1.0, speeds.lastingSpeedOf(restarted, time.nowNanos()));
    }

    /** Guards against learned state older than its permitted age: a server without requests is tried again. */
    @Test
    void samplesAreNotUsedAfterTheirValidity() {
        addServers(SERVERS);
        answers(IDENTIFYING_ANSWERS, server -> trueSpeed(servers.indexOf(server)));
        assertTrue(speedOf(0) < 0.85);
        time.advance(SpeedEstimate.VALIDITY);
        assertEquals(1.0, speedOf(0));
    }

    @Test
    void inheritedSpeedCountsUntilOwnSamplesOrItsDeadline() {
        addServers(SERVERS);
        BackendServer server = servers.get(0);
        speeds.inherit(server, 0.7, Duration.ofSeconds(20), time.nowNanos());
        assertEquals(0.7, speedOf(0));
        time.advance(Duration.ofSeconds(41));
        assertEquals(1.0, speedOf(0));
        speeds.inherit(server, 0.7, Duration.ofSeconds(20), time.nowNanos());
        answers(IDENTIFYING_ANSWERS, each -> 1.0);
        assertEquals(1.0, speedOf(0), 0.05);
    }

    /** Guards against a malformed report that makes a server infinitely fast or slow. */
    @Test
    void unusableValuesAreIgnoredOrBounded() {
        addServers(SERVERS);
        answers(IDENTIFYING_ANSWERS, server -> 1.0);
        BackendServer server = servers.get(0);
        for (double value : List.of(Double.NaN, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY)) {
            speeds.record(server, new SlownessSample(value, 1, value, 1), time.nowNanos());
            speeds.inherit(server, value, Duration.ZERO, time.nowNanos());
        }
        time.advance(LearnedSpeeds.UPDATE_INTERVAL);
        assertEquals(1.0, speedOf(0), 0.1);
    }
}
