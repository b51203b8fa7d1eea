package org.borageproxy.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.borageproxy.spread.WatchingFleet.Entry;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RegisterVm;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.ZoneOrder;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that each VM in touch obeys an acknowledged publication in time, over sizes, rates of links, control VMs that
 * are silent, series of changes and restarts, in virtual time. The bound is the stated one, and the time that the bytes
 * need on the link.
 */
class PublicationArrivalTest {

    /** Bytes per second: a link of 7.5 Mbit/s, its half and its fifth. */
    private static final List<Integer> RATES = List.of(937_500, 468_750, 187_500);

    private static final Duration START = Duration.ofSeconds(2);

    private static Duration bound(long bytes, int rate) {
        return WatchingFleet.APPLY_TIME.plusMillis(bytes * 1000 / rate);
    }

    private static void assertInTime(List<String> late) {
        assertEquals(List.of(), late);
    }

    /** Guards against a VM that never obeys a publication which takes longer to arrive than an answer may take. */
    @Test
    void largePublicationArrivesOverSlowLink() {
        List<String> late = new ArrayList<>();
        for (int rate : RATES) {
            for (int size : new int[] {100_000, 250_000, 400_000, 600_000, 1_200_000, 4_000_000}) {
                WatchingFleet fleet = new WatchingFleet(0);
                Entry entry = fleet.entry("e1");
                fleet.fleet.run(START);
                fleet.fleet.limitLink("e1", rate);
                fleet.publish(1, WatchingFleet.randomContent(1, size));
                Duration took = fleet.timeUntilObeyed(entry, 1, bound(size, rate));
                System.out.printf(
                        "event=publication-arrival bytes=%d rate=%d took_ms=%d%n", size, rate, took.toMillis());
                if (took.compareTo(bound(size, rate)) > 0) {
                    late.add(size + " bytes at " + rate + "/s");
                }
            }
        }
        assertInTime(late);
    }

    /** Guards against a VM that is behind for as long as a series of large publications lasts, or for good. */
    @Test
    void seriesOfLargePublicationsArrives() {
        List<String> late = new ArrayList<>();
        int size = 400_000;
        for (int rate : RATES) {
            WatchingFleet fleet = new WatchingFleet(0);
            Entry entry = fleet.entry("e1");
            fleet.fleet.run(START);
            fleet.fleet.limitLink("e1", rate);
            for (int number = 1; number <= 14; number++) {
                fleet.publish(number, WatchingFleet.randomContent(number, size));
                fleet.fleet.run(Duration.ofMillis(140));
            }
            Duration took = fleet.timeUntilObeyed(entry, 14, bound(size, rate));
            System.out.printf("event=publication-arrival series=14 rate=%d took_ms=%d%n", rate, took.toMillis());
            if (took.compareTo(bound(size, rate)) > 0 || !entry.neverWentBack()) {
                late.add(entry.obeyed() + " at " + rate + "/s");
            }
        }
        assertInTime(late);
    }

    /**
     * Guards against a restarted VM that never gets the state, since the whole of it is more than fits in one answer.
     */
    @Test
    void restartedVmGetsLargeState() {
        List<String> late = new ArrayList<>();
        for (int rate : RATES) {
            for (int size : new int[] {250_000, 4_000_000}) {
                WatchingFleet fleet = new WatchingFleet(0);
                fleet.publish(1, WatchingFleet.randomContent(1, size));
                fleet.fleet.limitLink("e1", rate);
                long bytesBefore = fleet.fleet.bytes;
                Entry entry = fleet.entry("e1");
                Duration bound = bound(size, rate);
                if (!fleet.fleet.runUntil(
                        () -> entry.newest() == 1 && entry.watcher().isReady(), bound)) {
                    late.add(size + " bytes at " + rate + "/s");
                }
                long sentBytes = fleet.fleet.bytes - bytesBefore;
                assertTrue(sentBytes < size + size / 50 + 20_000, sentBytes + " bytes sent for " + size);
            }
        }
        assertInTime(late);
    }

    /** Guards against a restarted VM that never gets a state of many small records. */
    @Test
    void restartedVmGetsManyRecords() {
        WatchingFleet fleet = new WatchingFleet(0);
        for (int number = 0; number < 6_000; number++) {
            fleet.submit(Command.newBuilder()
                    .setRegisterVm(RegisterVm.newBuilder()
                            .setVm(VmRecord.newBuilder()
                                    .setName("vm-" + number + "-of-a-large-fleet")
                                    .setZone("a")
                                    .setHost("10.0." + number / 250 + "." + number % 250)
                                    .setPort(4000))));
        }
        int rate = 187_500;
        fleet.fleet.limitLink("e1", rate);
        Entry entry = fleet.entry("e1");
        assertTrue(fleet.fleet.runUntil(entry.watcher()::isReady, bound(6_000 * 75, rate)));
        assertTrue(entry.watcher().vms().size() >= 6_000);
    }

    /** Guards against a VM that asks control VMs which are gone one after the other while a publication waits. */
    @Test
    void publicationArrivesAlthoughWatchedControlVmFallsSilent() {
        List<String> late = new ArrayList<>();
        for (int gone : new int[] {0, 2, 4, 6, 9, 12}) {
            for (String name : List.of("e1", "e2", "e3", "e4", "e5", "e6")) {
                WatchingFleet fleet = new WatchingFleet(gone);
                Entry entry = fleet.entry(name);
                assertTrue(fleet.fleet.runUntil(entry.watcher()::isReady, Duration.ofSeconds(30)));
                fleet.fleet.run(START);
                fleet.fleet.silence(fleet.watchedBy(name).value());
                fleet.publish(1, WatchingFleet.routes(10, 1));
                Duration took = fleet.timeUntilObeyed(entry, 1, WatchingFleet.APPLY_TIME);
                System.out.printf(
                        "event=publication-arrival gone=%d entry=%s took_ms=%d%n", gone, name, took.toMillis());
                if (took.compareTo(WatchingFleet.APPLY_TIME) > 0) {
                    late.add(gone + " gone, " + name);
                }
            }
        }
        assertInTime(late);
    }

    /** Guards against small changes, as the drain of a zone, that wait behind a large one. */
    @Test
    void drainIsObeyedWhileLargePublicationIsOnItsWay() {
        WatchingFleet fleet = new WatchingFleet(0);
        Entry entry = fleet.entry("e1");
        fleet.fleet.run(START);
        fleet.fleet.limitLink("e1", 187_500);
        fleet.publish(1, WatchingFleet.randomContent(1, 4_000_000));
        fleet.fleet.run(Duration.ofSeconds(1));
        fleet.submit(Command.newBuilder().setDrainZone(ZoneOrder.newBuilder().setZone("z")));
        assertTrue(fleet.fleet.runUntil(() -> !entry.watcher().drainedZones().isEmpty(), Duration.ofSeconds(1)));
        assertEquals(0, entry.newest());
    }

    /** Guards against the cost of a whole publication, for each VM, for a change of one route. */
    @Test
    void changeOfOneRouteCostsFewBytes() {
        WatchingFleet fleet = new WatchingFleet(0);
        Entry entry = fleet.entry("e1");
        fleet.publish(1, WatchingFleet.routes(1_570, 1));
        fleet.fleet.run(Duration.ofSeconds(5));
        assertEquals(1, entry.newest());
        int size = WatchingFleet.routes(1_570, 700).size();
        long before = fleet.fleet.bytes;
        fleet.publish(2, WatchingFleet.routes(1_570, 700));
        fleet.fleet.run(Duration.ofSeconds(2));
        assertEquals(2, entry.newest());
        long received = fleet.fleet.bytes - before - size;
        System.out.printf("event=publication-cost document_bytes=%d received_bytes=%d%n", size, received);
        assertTrue(received < size / 10, received + " bytes for a change of one route in " + size);
    }

    /**
     * Guards against VMs that go on with an old publication after a series of publications, silent and replaced control
     * VMs, links of changing rates and restarts: each VM in touch obeys the newest in time and none goes back.
     */
    @Property(tries = 60, seed = "64")
    void entriesInTouchObeyNewestPublicationAfterAnySchedule(@ForAll long seed) {
        Random random = new Random(seed);
        WatchingFleet fleet = new WatchingFleet(random.nextInt(4));
        List<Entry> entries = new ArrayList<>(List.of(fleet.entry("e1"), fleet.entry("e2"), fleet.entry("e3")));
        int[] rates = new int[entries.size()];
        for (int index = 0; index < rates.length; index++) {
            rates[index] = limitLink(fleet, index, random);
        }
        long number = 0;
        int lastBytes = 0;
        int earlierBytes = 0;
        Optional<String> silent = Optional.empty();
        for (int step = 0; step < 25; step++) {
            int choice = random.nextInt(10);
            if (choice < 5) {
                earlierBytes = Math.max(earlierBytes, lastBytes);
                lastBytes = 1_000 + random.nextInt(random.nextInt(4) == 0 ? 2_000_000 : 400_000);
                fleet.publish(++number, WatchingFleet.randomContent(random.nextInt(3), lastBytes));
            } else if (choice < 7) {
                silent.ifPresent(fleet.fleet::unsilence);
                silent = Optional.of("c" + (1 + random.nextInt(3)));
                fleet.fleet.silence(silent.get());
            } else if (choice < 8) {
                int index = random.nextInt(rates.length);
                rates[index] = limitLink(fleet, index, random);
            } else if (choice < 9) {
                int index = random.nextInt(entries.size());
                entries.get(index).watcher().stop();
                assertTrue(entries.get(index).neverWentBack());
                entries.set(index, fleet.entry("e" + (index + 1)));
            }
            fleet.fleet.run(Duration.ofMillis(random.nextInt(1_500)));
        }
        fleet.publish(++number, WatchingFleet.randomContent(random.nextInt(3), 50_000));
        for (int index = 0; index < entries.size(); index++) {
            // What was on its way may have to arrive before it.
            Duration bound = bound(50_000L + lastBytes + earlierBytes, rates[index]);
            Duration took = fleet.timeUntilObeyed(entries.get(index), number, bound);
            assertTrue(took.compareTo(bound) <= 0, "e" + (index + 1) + " at " + rates[index] + "/s, seed " + seed);
            assertTrue(entries.get(index).neverWentBack());
        }
    }

    private static int limitLink(WatchingFleet fleet, int index, Random random) {
        int rate = RATES.get(random.nextInt(RATES.size()));
        fleet.fleet.limitLink("e" + (index + 1), rate);
        return rate;
    }

    /** Guards against a VM that waits for ever for the rest of a publication that only a silent control VM has. */
    @Test
    void publicationArrivesAlthoughAnOlderOneIsNotToBeHadAnyMore() {
        WatchingFleet fleet = new WatchingFleet(2);
        Entry entry = fleet.entry("e1");
        assertTrue(fleet.fleet.runUntil(entry.watcher()::isReady, Duration.ofSeconds(30)));
        fleet.fleet.run(START);
        int rate = 187_500;
        int size = 400_000;
        fleet.fleet.limitLink("e1", rate);
        fleet.publish(1, WatchingFleet.randomContent(1, size));
        fleet.fleet.run(Duration.ofMillis(1_900));
        fleet.fleet.silence(fleet.watchedBy("e1").value());
        fleet.publish(2, WatchingFleet.randomContent(2, size));
        Duration bound = bound(size, rate);
        Duration took = fleet.timeUntilObeyed(entry, 2, bound);
        assertTrue(took.compareTo(bound) <= 0, entry.obeyed() + " after " + took);
    }

    /** Guards against a VM that stays behind after a publication that replaced another one on its way. */
    @Test
    void publicationArrivesAfterItsControlVmFellSilentOnTheWay() {
        List<String> late = new ArrayList<>();
        for (int size : new int[] {400_000, 4_000_000}) {
            WatchingFleet fleet = new WatchingFleet(0);
            Entry entry = fleet.entry("e1");
            fleet.fleet.run(START);
            fleet.fleet.limitLink("e1", 468_750);
            fleet.publish(1, WatchingFleet.randomContent(1, size));
            fleet.fleet.run(Duration.ofMillis(400));
            fleet.fleet.silence(fleet.watchedBy("e1").value());
            Duration bound = bound(size, 468_750);
            if (fleet.timeUntilObeyed(entry, 1, bound).compareTo(bound) > 0) {
                late.add(size + " bytes");
            }
        }
        assertInTime(late);
    }
}
