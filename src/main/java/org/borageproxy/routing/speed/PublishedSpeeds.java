package org.borageproxy.routing.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;

/**
 * The learned speeds that the coordinator tells the entries. A speed is published when it differs noticeably from the
 * published one, and again from time to time, since entries do not use it beyond its validity; servers of the speed one
 * are not published before they differ. Each publication has a number, so that an entry gets only what is new to it.
 * Not thread safe.
 */
public final class PublishedSpeeds {

    /** Interval after which an unchanged speed is published again; less than half of its validity. */
    private static final Duration REPETITION_INTERVAL = Duration.ofSeconds(25);
    /** Ratio of a speed to the published one from which it is published anew. */
    private static final double NOTICEABLE_RATIO = 1.1;

    private final LearnedSpeeds learned;
    private final Map<BackendServerName, Published> published = new HashMap<>();
    private long version;

    private record Published(ServerSpeed speed, long version, Deadline repeatedAt) {}

    /**
     * The speed of one incarnation of a server. Immutable and thread safe.
     *
     * @param name the server
     * @param incarnation the incarnation
     * @param speed the speed; 1 is the median of the server's peers
     */
    public record ServerSpeed(BackendServerName name, long incarnation, double speed) {}

    /**
     * Creates an empty publication.
     *
     * @param learned the learned speeds
     */
    public PublishedSpeeds(LearnedSpeeds learned) {
        this.learned = learned;
    }

    /**
     * Publishes the speeds that have changed and those that have to be repeated.
     *
     * @param servers the announced servers
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the newly published speeds
     */
    public List<ServerSpeed> update(Collection<BackendServer> servers, long nowNanos) {
        List<ServerSpeed> changed = new ArrayList<>();
        for (BackendServer server : servers) {
            double speed = learned.lastingSpeedOf(server, nowNanos);
            Published previous = published.get(server.name());
            boolean isSameServer = previous != null && previous.speed().incarnation() == server.incarnation();
            double previousSpeed = isSameServer ? previous.speed().speed() : 1.0;
            boolean isDifferent = Math.max(speed / previousSpeed, previousSpeed / speed) >= NOTICEABLE_RATIO;
            boolean isRepeated = isSameServer
                    && previous.repeatedAt().hasPassed(nowNanos)
                    && previous.speed().speed() != 1.0;
            if (isDifferent || isRepeated) {
                version++;
                ServerSpeed current = new ServerSpeed(server.name(), server.incarnation(), speed);
                published.put(
                        server.name(), new Published(current, version, Deadline.after(nowNanos, REPETITION_INTERVAL)));
                if (isDifferent) {
                    changed.add(current);
                }
            }
        }
        return changed;
    }

    /**
     * Returns the number of the latest publication.
     *
     * @return the number; zero if nothing has been published
     */
    public long version() {
        return version;
    }

    /**
     * Returns the speeds that were published after a given publication.
     *
     * @param knownVersion the number of the publication; zero for all
     * @return the speeds, in no order
     */
    public List<ServerSpeed> since(long knownVersion) {
        return published.values().stream()
                .filter(each -> each.version() > knownVersion)
                .map(Published::speed)
                .toList();
    }

    /**
     * Removes all other servers.
     *
     * @param names the servers to keep
     */
    public void retain(Collection<BackendServerName> names) {
        published.keySet().retainAll(names);
    }
}
