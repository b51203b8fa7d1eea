package org.borageproxy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.borageproxy.event.Event;
import org.borageproxy.event.EventRecorder;

/**
 * What this VM knows of all backend servers. The newest announcement by incarnation and sequence number holds; a leave
 * is final for its incarnation. If most backend servers fall silent at once, the fault is taken to lie on the way to
 * this VM, and they stay usable. Time is an argument of each command. Thread safe: one lock guards the records, and
 * readers get the last published list without it. A sweep publishes the loads that heartbeats brought; every other
 * change is published at once.
 */
public final class BackendServerRegistry implements BackendServers {

    /** The smallest number of backend servers for which the silence of most is taken as this VM's own fault. */
    private static final int SMALLEST_FLEET_FOR_MASS_SILENCE = 4;

    /** The times from which deadlines are computed. */
    private final MembershipSettings settings;
    /** Takes the events. */
    private final EventRecorder events;
    /** The records by name; guarded by this. */
    private final Map<BackendServerName, ServerRecord> records = new TreeMap<>();
    /** The list that readers get. */
    private volatile List<BackendServer> published = List.of();

    /**
     * Creates an empty registry.
     *
     * @param settings the times from which deadlines are computed
     * @param events takes the events
     */
    public BackendServerRegistry(MembershipSettings settings, EventRecorder events) {
        this.settings = settings;
        this.events = events;
    }

    /** What an update changed. */
    public enum Change {
        /** The update was old or known. */
        NONE,
        /** Only the sequence number and the load changed. */
        HEARTBEAT,
        /** A backend server joined, restarted or left, or its models or address changed. */
        CONTENT
    }

    @Override
    public List<BackendServer> current() {
        return published;
    }

    /**
     * Applies an announcement that arrived at this VM.
     *
     * @param announcement the announcement
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return what changed
     */
    public Change announce(Announcement announcement, long nowNanos) {
        return merge(ServerRecord.of(announcement, nowNanos), nowNanos);
    }

    /**
     * Applies a leave.
     *
     * @param name the backend server
     * @param incarnation the incarnation that leaves
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return what changed
     */
    public Change leave(BackendServerName name, long incarnation, long nowNanos) {
        return merge(ServerRecord.ofLeave(name, incarnation, nowNanos), nowNanos);
    }

    /**
     * Marks a backend server as suspect until its next announcement, because a request to it failed.
     *
     * @param name the backend server
     * @param incarnation the incarnation that failed
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    public synchronized void requestFailed(BackendServerName name, long incarnation, long nowNanos) {
        ServerRecord known = records.get(name);
        if (known != null && known.incarnation() == incarnation && !known.failed()) {
            records.put(name, known.withFailure());
            publish(nowNanos);
        }
    }

    /**
     * Publishes the newest loads and moves backend servers on whose deadlines have passed.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    public synchronized void sweep(long nowNanos) {
        records.values().removeIf(known -> known.passed(settings.forgetAfter(), nowNanos));
        publish(nowNanos);
    }

    /**
     * Merges a record.
     *
     * @param update the record
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return what changed
     */
    synchronized Change merge(ServerRecord update, long nowNanos) {
        ServerRecord known = records.get(update.name());
        if (known == null) {
            records.put(update.name(), update);
            publish(nowNanos);
            return Change.CONTENT;
        }
        ServerRecord merged = known.merge(update);
        if (merged == known) {
            keepTombstone(known, update, nowNanos);
            return Change.NONE;
        }
        records.put(update.name(), merged);
        if (!sameContent(known, merged)) {
            publish(nowNanos);
            return Change.CONTENT;
        }
        if (known.isSilent(settings, nowNanos)) {
            publish(nowNanos);
        }
        return Change.HEARTBEAT;
    }

    /**
     * Keeps the record of an incarnation that left for as long as it still announces itself.
     *
     * @param known the record
     * @param update what arrived
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    private void keepTombstone(ServerRecord known, ServerRecord update, long nowNanos) {
        if (known.left() && known.incarnation() == update.incarnation()) {
            records.put(known.name(), known.heardAgain(nowNanos));
        }
    }

    /**
     * Tells whether two records of a server differ at most in sequence number and load.
     *
     * @param before the earlier record
     * @param after the later record
     * @return {@code true} if nothing else changed
     */
    private static boolean sameContent(ServerRecord before, ServerRecord after) {
        return before.incarnation() == after.incarnation()
                && before.left() == after.left()
                && before.announcement()
                        .map(Announcement::content)
                        .equals(after.announcement().map(Announcement::content));
    }

    /**
     * Returns the record of a server.
     *
     * @param name the server's name
     * @return the record, or empty if it is not known
     */
    synchronized Optional<ServerRecord> record(BackendServerName name) {
        return Optional.ofNullable(records.get(name));
    }

    /**
     * Returns all records.
     *
     * @return a copy
     */
    synchronized List<ServerRecord> records() {
        return List.copyOf(records.values());
    }

    /**
     * Publishes the list of backend servers and records the events of what changed in it.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    private void publish(long nowNanos) {
        boolean massSilence = isMassSilence(nowNanos);
        List<BackendServer> servers = new ArrayList<>();
        for (ServerRecord known : records.values()) {
            boolean hidden = known.passed(settings.hideAfter(), nowNanos) && (known.left() || !massSilence);
            if (!hidden && known.announcement().isPresent()) {
                BackendServerState state = state(known, massSilence, nowNanos);
                servers.add(known.announcement().get().server(state));
            }
        }
        List<BackendServer> before = published;
        published = List.copyOf(servers);
        recordEvents(before, published);
    }

    /**
     * Tells whether most backend servers are silent.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if the fault is taken as this VM's own
     */
    private boolean isMassSilence(long nowNanos) {
        List<ServerRecord> expected = records.values().stream()
                .filter(known -> !known.left() && known.announcement().isPresent())
                .toList();
        long silent = expected.stream()
                .filter(known -> known.isSilent(settings, nowNanos))
                .count();
        return expected.size() >= SMALLEST_FLEET_FOR_MASS_SILENCE && 2 * silent > expected.size();
    }

    /**
     * Returns the state in which a server is shown.
     *
     * @param known the server's record
     * @param massSilence whether most servers are silent
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the state
     */
    private BackendServerState state(ServerRecord known, boolean massSilence, long nowNanos) {
        if (known.left()) {
            return BackendServerState.LEAVING;
        }
        boolean suspect = known.failed() || !massSilence && known.isSilent(settings, nowNanos);
        return suspect ? BackendServerState.SUSPECT : BackendServerState.ALIVE;
    }

    /**
     * Records what changed between two lists.
     *
     * @param before the earlier list
     * @param after the later list
     */
    private void recordEvents(List<BackendServer> before, List<BackendServer> after) {
        Map<BackendServerName, BackendServer> earlier = new TreeMap<>(Comparator.naturalOrder());
        before.forEach(server -> earlier.put(server.name(), server));
        for (BackendServer server : after) {
            BackendServer previous = earlier.remove(server.name());
            if (previous == null) {
                events.record(event("server-joined", server));
            } else if (previous.incarnation() != server.incarnation()) {
                events.record(event("server-restarted", server));
            } else if (previous.state() != server.state()) {
                events.record(event("server-state", server).with("before", previous.state()));
            }
        }
        earlier.values().forEach(server -> events.record(event("server-forgotten", server)));
    }

    /**
     * Returns an event about a server.
     *
     * @param name the event's name
     * @param server the server
     * @return the event
     */
    private static Event event(String name, BackendServer server) {
        return Event.named(name)
                .with("server", server.name())
                .with("incarnation", server.incarnation())
                .with("state", server.state())
                .with("zone", server.zone());
    }
}
