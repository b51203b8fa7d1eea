package org.borageproxy.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.borageproxy.event.Event;
import org.borageproxy.event.EventRecorder;

/**
 * Registry of all backend servers on one VM. The latest announcement by incarnation and sequence number is in force; a
 * leave is final for its incarnation. If most backend servers are unresponsive at the same time, the cause is assumed
 * to be the connectivity of this VM, and the silent ones remain usable until their records are removed. The time is an
 * argument of each operation. Thread safe: this object's monitor guards the records, and readers get the last published
 * list without it. Loads from heartbeats are published by the next sweep; every other change is published immediately.
 */
public final class BackendServerRegistry implements BackendServers {

    /** Minimum number of backend servers; in a smaller fleet, silence is never attributed to this VM's connectivity. */
    private static final int MIN_FLEET_FOR_MASS_SILENCE = 4;

    private final MembershipSettings settings;
    private final EventRecorder events;
    /** Records by name; guarded by this. */
    private final Map<BackendServerName, ServerRecord> records = new TreeMap<>();
    /** Immutable list for readers. */
    private volatile List<BackendServer> published = List.of();
    /** The record of each published server, in the same order; guarded by this. */
    private List<ServerRecord> publishedRecords = List.of();

    /**
     * Creates an empty registry.
     *
     * @param settings the timeouts
     * @param events records events
     */
    public BackendServerRegistry(MembershipSettings settings, EventRecorder events) {
        this.settings = settings;
        this.events = events;
    }

    /** Kind of change made by an update. */
    public enum Change {
        /** The update was not newer than the record. */
        NONE,
        /** Only the sequence number and the load changed. */
        HEARTBEAT,
        /** The loaded models or local weights changed. */
        MODELS,
        /** A backend server joined, restarted or left, or another part of its content changed. */
        PRESENCE
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
     * @return the kind of change
     */
    public Change announce(Announcement announcement, long nowNanos) {
        return merge(ServerRecord.of(announcement, nowNanos), nowNanos);
    }

    /**
     * Applies the leave of a backend server.
     *
     * @param name the backend server
     * @param incarnation the incarnation that leaves
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the kind of change
     */
    public Change leave(BackendServerName name, long incarnation, long nowNanos) {
        return merge(ServerRecord.ofLeave(name, incarnation, nowNanos), nowNanos);
    }

    /**
     * Marks a backend server as suspect until its next announcement, because a request to it failed. Ignored for other
     * incarnations than the present one.
     *
     * @param name the backend server
     * @param incarnation the incarnation that failed
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    public synchronized void reportRequestFailure(BackendServerName name, long incarnation, long nowNanos) {
        ServerRecord current = records.get(name);
        if (current != null && current.incarnation() == incarnation && !current.failed()) {
            records.put(name, current.withFailure());
            publish(nowNanos);
        }
    }

    /**
     * Removes expired records, and publishes the latest loads and the states that follow from the time.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    public synchronized void sweep(long nowNanos) {
        records.values().removeIf(current -> current.isSilentFor(settings.forgetAfter(), nowNanos));
        publish(nowNanos);
    }

    /** Merges a record into the registry and returns the kind of change. */
    synchronized Change merge(ServerRecord update, long nowNanos) {
        ServerRecord current = records.get(update.name());
        if (current == null) {
            records.put(update.name(), update);
            publish(nowNanos);
            return Change.PRESENCE;
        }
        ServerRecord merged = current.merge(update);
        if (merged == current) {
            extendTombstone(current, update, nowNanos);
            return Change.NONE;
        }
        records.put(update.name(), merged);
        if (!hasSameContent(current, merged)) {
            publish(nowNanos);
            return hasSamePresence(current, merged) ? Change.MODELS : Change.PRESENCE;
        }
        if (current.isUnresponsive(settings, nowNanos)) {
            publish(nowNanos);
        }
        return Change.HEARTBEAT;
    }

    /** Extends the retention of a record whose incarnation left and still announces itself. */
    private void extendTombstone(ServerRecord current, ServerRecord update, long nowNanos) {
        if (current.left() && current.incarnation() == update.incarnation()) {
            records.put(current.name(), current.withLastMessage(nowNanos));
        }
    }

    /** Whether two records differ at most in their models, local weights, sequence number and load. */
    private static boolean hasSamePresence(ServerRecord before, ServerRecord after) {
        return before.incarnation() == after.incarnation()
                && before.left() == after.left()
                && before.announcement()
                        .map(announcement -> announcement.content().withoutModels())
                        .equals(after.announcement()
                                .map(announcement -> announcement.content().withoutModels()));
    }

    /** Whether two records differ at most in their sequence number and load. */
    private static boolean hasSameContent(ServerRecord before, ServerRecord after) {
        return before.incarnation() == after.incarnation()
                && before.left() == after.left()
                && before.announcement()
                        .map(Announcement::content)
                        .equals(after.announcement().map(Announcement::content));
    }

    /** Returns the record of a server, empty if there is none. */
    synchronized Optional<ServerRecord> record(BackendServerName name) {
        return Optional.ofNullable(records.get(name));
    }

    /** Returns a copy of all records. */
    synchronized List<ServerRecord> records() {
        return List.copyOf(records.values());
    }

    /**
     * Publishes the list of backend servers and records an event for each difference from the previous list. Views of
     * servers whose records and states are unchanged are kept, since the periodic publication of hundreds of servers
     * would otherwise build all of them anew. The caller holds the monitor.
     */
    private void publish(long nowNanos) {
        boolean isMassSilence = isMassSilence(nowNanos);
        List<BackendServer> before = published;
        List<BackendServer> servers = new ArrayList<>(records.size());
        List<ServerRecord> sources = new ArrayList<>(records.size());
        List<BackendServer> forgotten = new ArrayList<>();
        int position = 0;
        // Both lists are in the order of the names.
        for (ServerRecord current : records.values()) {
            if (isHidden(current, isMassSilence, nowNanos)) {
                continue;
            }
            while (position < before.size() && before.get(position).name().compareTo(current.name()) < 0) {
                forgotten.add(before.get(position));
                position++;
            }
            BackendServerState state = state(current, isMassSilence, nowNanos);
            boolean isKnown =
                    position < before.size() && before.get(position).name().equals(current.name());
            BackendServer previous = isKnown ? before.get(position) : null;
            boolean isUnchanged = isKnown && publishedRecords.get(position) == current && previous.state() == state;
            position += isKnown ? 1 : 0;
            BackendServer server =
                    isUnchanged ? previous : current.announcement().get().server(state);
            servers.add(server);
            sources.add(current);
            if (!isUnchanged) {
                recordChange(previous, server);
            }
        }
        forgotten.addAll(before.subList(position, before.size()));
        forgotten.forEach(server -> events.record(event("server-forgotten", server)));
        published = List.copyOf(servers);
        publishedRecords = sources;
    }

    private boolean isHidden(ServerRecord current, boolean isMassSilence, long nowNanos) {
        boolean isForgotten = current.isSilentFor(settings.hideAfter(), nowNanos) && (current.left() || !isMassSilence);
        return isForgotten || current.announcement().isEmpty();
    }

    /** Whether most of the backend servers that have not left are unresponsive. */
    private boolean isMassSilence(long nowNanos) {
        int present = 0;
        int unresponsive = 0;
        for (ServerRecord current : records.values()) {
            if (!current.left() && current.announcement().isPresent()) {
                present++;
                unresponsive += current.isUnresponsive(settings, nowNanos) ? 1 : 0;
            }
        }
        return present >= MIN_FLEET_FOR_MASS_SILENCE && 2 * unresponsive > present;
    }

    /** Returns the published state of a server. Mass silence makes no server suspect, but a failed request does. */
    private BackendServerState state(ServerRecord current, boolean isMassSilence, long nowNanos) {
        if (current.left()) {
            return BackendServerState.LEAVING;
        }
        boolean isSuspect = current.failed() || !isMassSilence && current.isUnresponsive(settings, nowNanos);
        return isSuspect ? BackendServerState.SUSPECT : BackendServerState.ALIVE;
    }

    /** Records the difference of a server from its previous view, which is {@code null} for a new server. */
    private void recordChange(BackendServer previous, BackendServer server) {
        if (previous == null) {
            events.record(event("server-joined", server));
        } else if (previous.incarnation() != server.incarnation()) {
            events.record(event("server-restarted", server));
        } else if (previous.state() != server.state()) {
            events.record(event("server-state", server).with("before", previous.state()));
        }
    }

    private static Event event(String name, BackendServer server) {
        return Event.named(name)
                .with("server", server.name())
                .with("incarnation", server.incarnation())
                .with("state", server.state())
                .with("zone", server.zone())
                .with("software", server.softwareVersion().isEmpty() ? "-" : server.softwareVersion());
    }
}
