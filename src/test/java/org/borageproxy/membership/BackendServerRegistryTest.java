package org.borageproxy.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the effect of announcements, leaves and silence on the registry. */
class BackendServerRegistryTest {

    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int INTERVAL_MILLIS = 500;

    private final BackendServerRegistry registry = registry();

    @Property(seed = "42", tries = 500)
    void registryStateIsIndependentOfMessageOrderAndDuplicates(@ForAll("messages") List<Message> messages) {
        BackendServerRegistry forwards = registry();
        BackendServerRegistry backwards = registry();
        messages.forEach(message -> message.apply(forwards));
        List<Message> reversed = new ArrayList<>(messages);
        Collections.reverse(reversed);
        reversed.forEach(message -> message.apply(backwards));
        messages.forEach(message -> message.apply(backwards));
        forwards.sweep(0);
        backwards.sweep(0);
        assertEquals(forwards.current(), backwards.current());
    }

    @Property(seed = "42", tries = 500)
    void staleAnnouncementNeverRevivesServerThatLeft(@ForAll("messages") List<Message> messages) {
        BackendServerRegistry mixed = registry();
        long left = 2;
        mixed.leave(name(0), left, 0);
        for (Message message : messages) {
            message.apply(mixed);
            boolean revived = mixed.current().stream()
                    .filter(server -> server.name().equals(name(0)))
                    .anyMatch(server -> server.incarnation() <= left && server.state() != BackendServerState.LEAVING);
            assertTrue(!revived, "revived by " + message);
        }
    }

    /**
     * Guards against a difference that is published without its event, or the reverse: the list is compared with the
     * previous one, of which unchanged views are kept.
     */
    @Property(seed = "42", tries = 500)
    void eventsTellTheWholeListAfterEachStep(@ForAll("messages") List<Message> messages) {
        Map<String, String> told = new TreeMap<>();
        BackendServerRegistry watched = new BackendServerRegistry(MembershipSettings.DEFAULT, event -> {
            Map<String, String> fields = event.fields();
            if (event.name().equals("server-forgotten")) {
                told.remove(fields.get("server"));
            } else {
                told.put(fields.get("server"), fields.get("incarnation") + fields.get("state"));
            }
        });
        long nowNanos = 0;
        for (Message message : messages) {
            nowNanos += 4 * SECOND_NANOS * message.sequence();
            message.apply(watched, nowNanos);
            watched.reportRequestFailure(name(message.incarnation() - 1), message.incarnation(), nowNanos);
            assertEquals(listed(watched), told);
            watched.sweep(nowNanos + SECOND_NANOS);
            assertEquals(listed(watched), told);
        }
    }

    private static Map<String, String> listed(BackendServerRegistry registry) {
        Map<String, String> listed = new TreeMap<>();
        registry.current()
                .forEach(server -> listed.put(
                        server.name().value(),
                        server.incarnation() + server.state().toString()));
        return listed;
    }

    /** Guards against views that are kept although a later heartbeat stated another load. */
    @Test
    void sweepPublishesTheLatestLoad() {
        announceAll(3, 0, SECOND_NANOS);
        Announcement first = announcement(1, 1, 1);
        LoadReport load = new LoadReport(1, 2, 3, 4, 5);
        registry.announce(new Announcement(first.name(), 1, 3, first.content(), load), 2 * SECOND_NANOS);
        registry.sweep(2 * SECOND_NANOS);
        assertEquals(load, registry.current().get(1).load());
        assertEquals(LoadReport.UNKNOWN, registry.current().get(2).load());
    }

    @Provide
    Arbitrary<List<Message>> messages() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.of(true, false, false, false))
                .as(Message::new)
                .list()
                .ofMaxSize(30);
    }

    @Test
    void silentServerBecomesSuspectThenIsRemovedFromView() {
        announceAll(1, 0, SECOND_NANOS);
        announceAll(3, 1, SECOND_NANOS);
        keepAlive(1, 3, 3 * SECOND_NANOS);
        registry.sweep(4 * SECOND_NANOS);
        assertEquals(BackendServerState.SUSPECT, registry.current().get(0).state());
        keepAlive(1, 3, 40 * SECOND_NANOS);
        assertEquals(
                List.of(name(1), name(2)),
                registry.current().stream().map(BackendServer::name).toList());
    }

    @Test
    void serversStayAliveWhenMostAreSilentAtOnce() {
        announceAll(5, 0, SECOND_NANOS);
        keepAlive(0, 1, 60 * SECOND_NANOS);
        registry.sweep(60 * SECOND_NANOS);
        assertEquals(5, registry.current().size());
        assertTrue(registry.current().stream().allMatch(server -> server.state() == BackendServerState.ALIVE));
    }

    @Test
    void requestFailureMakesServerSuspectUntilNextAnnouncement() {
        announceAll(2, 0, SECOND_NANOS);
        registry.reportRequestFailure(name(0), 1, SECOND_NANOS);
        assertEquals(BackendServerState.SUSPECT, registry.current().get(0).state());
        registry.announce(announcement(0, 1, 99), SECOND_NANOS + 1);
        assertEquals(BackendServerState.ALIVE, registry.current().get(0).state());
    }

    private void announceAll(int count, int first, long nowNanos) {
        for (int index = first; index < count; index++) {
            registry.announce(announcement(index, 1, 1), nowNanos);
        }
    }

    private void keepAlive(int first, int end, long nowNanos) {
        for (int index = first; index < end; index++) {
            registry.announce(announcement(index, 1, nowNanos), nowNanos);
        }
    }

    private static BackendServerRegistry registry() {
        return new BackendServerRegistry(MembershipSettings.DEFAULT, EventRecorder.NoOp.INSTANCE);
    }

    private static BackendServerName name(int index) {
        return new BackendServerName("engine-" + index);
    }

    static Announcement announcement(int index, long incarnation, long sequence) {
        Announcement.Content content = new Announcement.Content(
                BackendServerKind.ENGINE,
                new AvailabilityZone("a"),
                "127.0.0.1",
                9000 + (int) (sequence % 2),
                true,
                INTERVAL_MILLIS,
                Set.of(),
                List.of(new Accelerator("0", 100)),
                List.of());
        return new Announcement(name(index), incarnation, sequence, content, LoadReport.UNKNOWN);
    }

    /**
     * A message that may arrive late or twice.
     *
     * @param server the number of the server
     * @param incarnation the incarnation of the server
     * @param sequence the sequence number of the message
     * @param leave whether the server leaves
     */
    record Message(int server, int incarnation, int sequence, boolean leave) {

        void apply(BackendServerRegistry registry) {
            apply(registry, 0);
        }

        void apply(BackendServerRegistry registry, long nowNanos) {
            if (leave) {
                registry.leave(name(server), incarnation, nowNanos);
            } else {
                registry.announce(announcement(server, incarnation, sequence), nowNanos);
            }
        }
    }
}
