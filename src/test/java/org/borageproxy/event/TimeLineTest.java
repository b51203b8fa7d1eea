package org.borageproxy.event;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests of {@link TimeLine}. */
class TimeLineTest {

    private final HybridClock clock = new HybridClock(InstantSource.fixed(Instant.ofEpochMilli(1_000)));
    private final TimeLine timeLine = new TimeLine(new VmName("vm-1"), new AvailabilityZone("zone-a"), clock);

    @Test
    void returnsLatestEventsInOrderFormattedAsOneLineEach() {
        timeLine.record(Event.named("first"));
        timeLine.record(Event.named("second").with("reason", "two words"));
        List<String> lines =
                timeLine.latestAfter(0, 10).stream().map(TimeLineEntry::toLine).toList();
        assertEquals(
                List.of("clock=1000.0 vm=vm-1 event=first", "clock=1000.1 vm=vm-1 event=second reason=\"two words\""),
                lines);
        assertEquals(1, timeLine.latestAfter(0, 1).size());
        assertEquals(List.of(), timeLine.latestAfter(1_000, 10));
    }

    @Test
    void encodingRoundTripPreservesEntries() {
        timeLine.record(Event.named("joined").with("server", "engine-1").with("state", "ALIVE"));
        List<TimeLineEntry> entries = timeLine.latestAfter(0, 10);
        assertEquals(entries, TimeLineCodec.decode(TimeLineCodec.encode(entries)));
    }
}
