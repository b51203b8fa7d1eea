package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.borageproxy.membership.BackendServers;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.AvailabilityZone;

/**
 * The models of one service that requests need and that no engine has, and those whose last copy was lost with its
 * engine. An absence begins with the first request that waits for the model. It ends when an engine has the model, or
 * some time after the latest wait, since refused callers return. Pure state in the time of the caller; not thread safe.
 */
final class AbsentModels {

    /** Time after the latest wait at which an absence ends without a copy; longer than callers take to return. */
    private static final Duration WAIT_VALIDITY = Duration.ofSeconds(10);
    /** Time for which a lost copy is replaced before requests wait for it. */
    private static final Duration LOSS_VALIDITY = Duration.ofSeconds(15);

    private final Map<String, Absence> absences = new HashMap<>();
    private final Map<String, Deadline> lostUntil = new HashMap<>();

    private static final class Absence {
        private final long sinceNanos;
        private Deadline expiresAt;
        private int waits;

        private Absence(long sinceNanos) {
            this.sinceNanos = sinceNanos;
        }
    }

    /**
     * An absence that has ended.
     *
     * @param model the model
     * @param millis the time from the first wait to the end, in milliseconds
     * @param waits the number of requests that began to wait, where a request that returns counts again
     * @param isLoaded whether an engine has the model now; otherwise no request has waited for it lately
     */
    record Ended(String model, long millis, int waits, boolean isLoaded) {}

    /**
     * Records that a request begins to wait for a model that no engine has.
     *
     * @param model the model
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return whether the absence begins with this request
     */
    boolean recordWait(String model, long nowNanos) {
        boolean isFirst = !absences.containsKey(model);
        Absence absence = absences.computeIfAbsent(model, key -> new Absence(nowNanos));
        absence.waits++;
        absence.expiresAt = Deadline.after(nowNanos, WAIT_VALIDITY);
        return isFirst;
    }

    /**
     * Records that the last copy of a model was lost because its engine left or is gone.
     *
     * @param model the model
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void recordLoss(String model, long nowNanos) {
        lostUntil.put(model, Deadline.after(nowNanos, LOSS_VALIDITY));
    }

    /**
     * Ends the absences of models that are loaded again or no longer requested.
     *
     * @param loaded returns whether an engine has a model
     * @param expected returns whether an engine has a model or is about to load it
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the ended absences
     */
    List<Ended> update(Predicate<String> loaded, Predicate<String> expected, long nowNanos) {
        lostUntil
                .entrySet()
                .removeIf(entry ->
                        expected.test(entry.getKey()) || entry.getValue().hasPassed(nowNanos));
        List<Ended> ended = new ArrayList<>();
        absences.entrySet().removeIf(entry -> {
            Absence absence = entry.getValue();
            boolean isLoaded = loaded.test(entry.getKey());
            boolean isOver = isLoaded || absence.expiresAt.hasPassed(nowNanos);
            if (isOver) {
                long millis = (nowNanos - absence.sinceNanos) / 1_000_000L;
                ended.add(new Ended(entry.getKey(), millis, absence.waits, isLoaded));
            }
            return isOver;
        });
        return ended;
    }

    /**
     * Ends absences, and adds to the demand since when requests have waited for each model and which copies have to be
     * replaced.
     *
     * @param byModel the demand by model, which is completed
     * @param engines the engines that may be used
     * @param displaced the models on servers that may not be used; those without another copy count as lost
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the ended absences
     */
    List<Ended> complete(
            Map<String, LoadPlanner.Demand> byModel,
            Collection<TrackedEngine> engines,
            Set<String> displaced,
            long nowNanos) {
        Predicate<String> isExpected = model -> engines.stream().anyMatch(engine -> engine.hasOrExpects(model));
        List<Ended> ended = update(
                model -> engines.stream()
                        .anyMatch(engine -> engine.loadedModels().containsKey(model)),
                isExpected,
                nowNanos);
        displaced.stream().filter(isExpected.negate()).forEach(model -> recordLoss(model, nowNanos));
        lost().forEach(model -> byModel.putIfAbsent(model, LoadPlanner.Demand.NONE));
        byModel.replaceAll(this::complete);
        return ended;
    }

    /**
     * Returns the models on servers of drained zones, as far as these servers announce them.
     *
     * @param servers the announced servers
     * @param isDrained returns whether a zone is drained
     * @param service the service
     * @return the models
     */
    static Set<String> displacedModels(BackendServers servers, Predicate<AvailabilityZone> isDrained, String service) {
        return servers.current().stream()
                .filter(server ->
                        isDrained.test(server.zone()) && server.services().contains(service))
                .flatMap(server -> server.models().stream())
                .map(LoadedModel::model)
                .collect(Collectors.toSet());
    }

    /**
     * Adds to the demand for a model since when its requests have waited, and whether its copy has to be replaced.
     *
     * @param model the model
     * @param demand the demand
     * @return the demand with the absence
     */
    LoadPlanner.Demand complete(String model, LoadPlanner.Demand demand) {
        Absence absence = absences.get(model);
        return new LoadPlanner.Demand(
                demand.tokensPerSecond(),
                demand.waitingRequests(),
                absence == null ? LoadPlanner.Demand.NOT_WAITING : absence.sinceNanos,
                lostUntil.containsKey(model));
    }

    /**
     * Returns the models whose copy has to be replaced.
     *
     * @return the models
     */
    Set<String> lost() {
        return Set.copyOf(lostUntil.keySet());
    }

    /** Discards everything. */
    void clear() {
        absences.clear();
        lostUntil.clear();
    }
}
