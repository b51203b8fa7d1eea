package org.borageproxy.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.borageproxy.routing.ServerStatement;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformHeadersTest {

    private static Optional<ServerStatement> parse(String... fields) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (int index = 0; index < fields.length; index += 2) {
            headers.add(fields[index], fields[index + 1]);
        }
        return new PlatformHeaders().parseResponse(200, headers).statement();
    }

    private static Optional<ServerStatement> limit(double limit) {
        return Optional.of(new ServerStatement(OptionalDouble.of(limit), OptionalInt.empty()));
    }

    private static Optional<Duration> parseRetryAfter(int status, String... values) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (String value : values) {
            headers.add("retry-AFTER", value);
        }
        return new PlatformHeaders().parseResponse(status, headers).retryAfter();
    }

    @Test
    void timesOfRefusalsAreParsed() {
        assertEquals(Optional.empty(), parseRetryAfter(503));
        assertEquals(Optional.of(Duration.ofSeconds(3)), parseRetryAfter(503, "3"));
        assertEquals(Optional.of(Duration.ofMillis(250)), parseRetryAfter(503, "0.25"));
        assertEquals(Optional.of(Duration.ofSeconds(4)), parseRetryAfter(503, "1", "4", "2"));
        assertEquals(Optional.empty(), parseRetryAfter(503, "0"));
        assertEquals(Optional.empty(), parseRetryAfter(502, "3"));
        assertEquals(Optional.empty(), parseRetryAfter(200, "3"));
    }

    /** Guards against a malformed or absurd time that is ignored, or that keeps requests away for good. */
    @Test
    void timesThatCannotBeReadOrAreAbsurdAreBounded() {
        for (String malformed : List.of("", "soon", "-1", "NaN", "Fri, 04 Dec 2026 12:00:00 GMT")) {
            assertEquals(Optional.of(Duration.ofSeconds(1)), parseRetryAfter(503, malformed), malformed);
        }
        for (String absurd : List.of("86400", "1e300", "Infinity")) {
            assertEquals(Optional.of(Duration.ofMinutes(10)), parseRetryAfter(503, absurd), absurd);
        }
    }

    private static boolean isLeaving(int status, String... values) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (String value : values) {
            headers.add("SERVER-leaving", value);
        }
        return new PlatformHeaders().parseResponse(status, headers).isLeaving();
    }

    /** Guards against a server that is taken out of service by an answer of another one, or by another value. */
    @Test
    void serversThatLeaveAreRecognized() {
        assertTrue(isLeaving(200, "1"));
        assertTrue(isLeaving(503, "0", "1"));
        assertFalse(isLeaving(200));
        assertFalse(isLeaving(421, "1"));
        for (String other : List.of("0", "", "true", "11", "-1")) {
            assertFalse(isLeaving(200, other), other);
        }
    }

    @Test
    void limitsAreParsedInAnyCase() {
        assertEquals(limit(2.6), parse("Server-Limit", "2.6"));
        assertEquals(limit(0), parse("server-limit", "0"));
        assertEquals(
                Optional.of(new ServerStatement(OptionalDouble.empty(), OptionalInt.of(3))),
                parse("SERVER-BRITTLE", "3"));
        assertEquals(Optional.of(ServerStatement.NONE), parse("X-Request-Id", "1"));
    }

    @Test
    void lowestOfRepeatedLimitsCounts() {
        assertEquals(limit(1.5), parse("Server-Limit", "4", "Server-Limit", "1.5"));
    }

    /** Guards against a malformed field that ends or imposes a limit. */
    @Test
    void malformedLimitsStateNothing() {
        for (String malformed : List.of("", "many", "-1", "NaN", "Infinity", "1e300", "2,6")) {
            assertEquals(Optional.empty(), parse("Server-Limit", malformed), malformed);
        }
        for (String malformed : List.of("", "-3", "2.5", "99999999999")) {
            assertEquals(Optional.empty(), parse("Server-Brittle", malformed), malformed);
        }
    }

    /** Guards against a server that becomes cold and says so in vain. */
    @Test
    void longestColdTimeCounts() {
        assertEquals(
                OptionalLong.of(1_500),
                parse("X-Cold-Ms", "20", "x-cold-ms", "1500").orElseThrow().coldMillis());
        assertEquals(
                OptionalLong.empty(), parse("X-Request-Id", "1").orElseThrow().coldMillis());
        assertEquals(Optional.empty(), parse("X-Cold-Ms", "soon"));
    }
}
