package org.borageproxy.logging;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link UnservedTargets}. */
class UnservedTargetsTest {

    private static final String ENDED = "time=2026-01-01T00:00:0%d.000Z level=INFO logger=request event=request-ended"
            + " id=r%d route=r service=s workspace=w model=%s outcome=\"%s\" status=%d sends=0";
    private static final String CLAIM = "time=2026-01-01T00:00:0%d.500Z level=INFO logger=Claims event=claim service=s"
            + " target=%s link=%s detail=%s age_ms=%d questions=3";

    @Test
    void listsTargetsWithoutSuccessAndTheirLastLink() {
        List<String> lines = List.of(
                CLAIM.formatted(3, "m1", "UNPLANNED", "no-room", 2_500),
                CLAIM.formatted(1, "m1", "COUNTED", "-", 0),
                CLAIM.formatted(2, "m1", "ORDERED", "e1", 1_000),
                ENDED.formatted(1, 1, "m1", "model-absent", 503),
                ENDED.formatted(2, 2, "m1", "model-absent", 503),
                ENDED.formatted(1, 3, "m2/a1", "model-absent", 503),
                ENDED.formatted(2, 4, "m2/a1", "answered", 200),
                ENDED.formatted(1, 5, "m3", "no-capacity", 503),
                ENDED.formatted(2, 6, "m3", "no-capacity", 503),
                ENDED.formatted(2, 7, "-", "answered", 200),
                ENDED.formatted(2, 8, "m4", "model-absent", 503));
        List<String> listed = new UnservedTargets(2).list(lines);
        assertEquals(3, listed.size(), listed.toString());
        assertTrue(
                listed.get(0)
                        .startsWith("target=m1 requests=2 link=UNPLANNED detail=no-room age_ms=2500 orders=1 at=2026"),
                listed.get(0));
        assertTrue(listed.get(1).startsWith("target=m3 requests=2 link=UNCOUNTED detail=- "), listed.get(1));
        assertEquals("unserved=2 requested=3", listed.get(2));
    }
}
