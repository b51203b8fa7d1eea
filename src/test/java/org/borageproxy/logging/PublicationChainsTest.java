package org.borageproxy.logging;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which VM and which link are named for a publication. */
class PublicationChainsTest {

    private static final String SUBMITTED =
            "time=2026-12-06T00:00:10.000Z event=publication-submitted number=18 routes=50 outcome=held took_ms=7";

    private final PublicationChains chains = new PublicationChains();

    private static String line(String seconds, String rest) {
        return "time=2026-12-06T00:00:" + seconds + "Z event=" + rest;
    }

    @Test
    void slowestVmAndItsLongestLinkAreNamed() {
        List<String> listed = chains.list(List.of(
                SUBMITTED,
                line("05.000", "publication-served vm=a number=4 routes=50 workspaces=2 read_ms=5"),
                line("05.000", "publication-served vm=b number=4 routes=50 workspaces=2 read_ms=5"),
                line("10.040", "publication-served vm=a number=18 routes=50 workspaces=2 read_ms=5"),
                line("11.000", "state-request-unsuccessful vm=b target=c1 reason=TIMEOUT waited_ms=600 times=1"),
                line("12.000", "publication-arrived vm=b number=18 version=7 from=c2 request_ms=4 transfer_ms=30"),
                line("12.050", "publication-served vm=b number=18 routes=50 workspaces=2 read_ms=16")));
        assertEquals(2, listed.size());
        assertTrue(
                listed.get(0)
                        .endsWith(
                                "vms=2 missing=0 slowest=b took_ms=2050 link=REQUESTED requested_ms=2000 answered_ms=4"
                                        + " transferred_ms=30 read_ms=16 failed_requests=1 restarted=false"),
                listed.get(0));
        assertEquals("publications=1 vms=2", listed.get(1));
    }

    @Test
    void vmThatNeverObeysIsNamedWithTheFailuresOfItsRequests() {
        List<String> listed = chains.list(List.of(
                SUBMITTED,
                line("05.000", "publication-served vm=b number=4 routes=50 workspaces=2 read_ms=5"),
                line("11.000", "state-request-unsuccessful vm=b target=c1 reason=TIMEOUT waited_ms=600 times=1")));
        assertTrue(
                listed.get(0)
                        .endsWith("vms=1 missing=1 slowest=b took_ms=never link=ANSWERED reasons=[c1:TIMEOUT]"
                                + " failed_requests=1 restarted=false"),
                listed.get(0));
    }

    @Test
    void laterPublicationCountsAsObeyed() {
        List<String> listed = chains.list(List.of(
                SUBMITTED,
                line("05.000", "publication-served vm=b number=4 routes=50 workspaces=2 read_ms=5"),
                line("10.500", "publication-served vm=b number=19 routes=50 workspaces=2 read_ms=5")));
        assertTrue(listed.get(0).contains("missing=0 slowest=b took_ms=500 link=REQUESTED"), listed.get(0));
    }
}
