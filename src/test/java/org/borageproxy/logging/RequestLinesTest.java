package org.borageproxy.logging;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests of {@link RequestLines}. */
class RequestLinesTest {

    private static final String ENDED =
            "time=2026-01-01T00:00:02.000Z level=INFO logger=request event=request-ended id=ab1 servers=s1,s2 age_ms=9";
    private static final String FAILED =
            "time=2026-01-01T00:00:01.000Z level=INFO logger=request event=attempt-failed id=ab1 server=s1 age_ms=4";
    private static final String CRASH =
            "  1.5 core-1 time=2026-01-01T00:00:01.500Z level=INFO event=server-state server=s1 state=SUSPECT";

    @Test
    void selectsLinesOfRequestAndItsServersOrderedByTime() {
        List<String> lines = List.of(
                ENDED,
                "time=2026-01-01T00:00:01.600Z level=INFO event=server-state server=s9 state=SUSPECT",
                "time=2026-01-01T00:00:05.000Z level=INFO event=server-state server=s1 state=ALIVE",
                "time=2026-01-01T00:00:01.100Z level=INFO logger=request event=request-ended id=ab12 servers=s1",
                CRASH,
                "\tat a.stack.Trace",
                FAILED);
        assertEquals(List.of(FAILED, CRASH, ENDED), new RequestLines("ab1").select(lines));
    }

    @Test
    void unknownRequestHasNoLines() {
        assertEquals(List.of(), new RequestLines("ab").select(List.of(ENDED, FAILED, CRASH)));
    }
}
