package org.borageproxy.routing.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjLongConsumer;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;

/**
 * The speeds that an entry received from the coordinator. They serve the entry while no coordinator answers, and a new
 * coordinator until it has learned its own. A speed is not used after its deadline. Not thread safe.
 */
public final class ReceivedSpeeds implements ServerSpeeds {

    /** Time for which a received speed is used. */
    static final Duration VALIDITY = Duration.ofSeconds(60);

    private final Map<BackendServerName, Received> received = new HashMap<>();

    private record Received(PublishedSpeeds.ServerSpeed speed, long atNanos, Deadline expiresAt) {}

    /**
     * Records a speed, which replaces the previous one of the server.
     *
     * @param speed the speed
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void record(PublishedSpeeds.ServerSpeed speed, long nowNanos) {
        if (speed.speed() > 0 && Double.isFinite(speed.speed())) {
            received.put(speed.name(), new Received(speed, nowNanos, Deadline.after(nowNanos, VALIDITY)));
        }
    }

    @Override
    public double speedOf(BackendServer server, long nowNanos) {
        Received known = received.get(server.name());
        boolean isUsable = known != null
                && known.speed().incarnation() == server.incarnation()
                && !known.expiresAt().hasPassed(nowNanos);
        return isUsable ? known.speed().speed() : 1.0;
    }

    /**
     * Passes each speed that has not expired to a consumer.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @param consumer receives the speed and its age in nanoseconds
     */
    public void forEach(long nowNanos, ObjLongConsumer<PublishedSpeeds.ServerSpeed> consumer) {
        List<Received> usable = new ArrayList<>(received.values());
        usable.removeIf(each -> each.expiresAt().hasPassed(nowNanos));
        usable.forEach(each -> consumer.accept(each.speed(), nowNanos - each.atNanos()));
    }

    /**
     * Removes all other servers.
     *
     * @param names the servers to keep
     */
    public void retain(Collection<BackendServerName> names) {
        received.keySet().retainAll(names);
    }
}
