package org.borageproxy.quarantine;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.borageproxy.control.ControlGroupCrashRegistry;
import org.borageproxy.control.Timer;
import org.borageproxy.execution.CrashProbe;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.forward.CrashSuspects;
import org.borageproxy.forward.SuspectRequests;
import org.borageproxy.forward.SuspectTrial;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports requests during whose beginning a backend server crashed. A lost connection alone is not a crash: the server
 * must also refuse a new connection. Parts of prompts with which requests have succeeded on this VM are reported only
 * for requests without any other part; if other VMs report such a part, this one vouches for it. Confined to the event
 * loop of the requests.
 */
public final class CrashReports implements SuspectRequests {

    private static final Logger LOGGER = LoggerFactory.getLogger(CrashReports.class);
    /** Period after a success in which a part counts as tested. */
    private static final Duration TESTED_RETENTION = Duration.ofSeconds(60);

    private static final int MAX_TESTED_PARTS = 20_000;
    /** Upper bound of the random delay before this VM vouches for a part, in which another VM may do so. */
    private static final int MAX_VOUCH_DELAY_MILLIS = 200;

    private final ControlGroupCrashRegistry registry;
    private final CrashProbe probe;
    private final Predicate<BackendServer> mayHaveLackedMemory;
    private final Timer timer;
    private final Random random;
    private final QuarantineTrials trials;
    private final Cache<Fingerprint, Boolean> testedParts;
    /** Suspected parts for which no VM has vouched, as far as this VM knows. */
    private Set<Fingerprint> unvouchedParts = Set.of();
    /** Parts for which this VM will vouch unless another one does. */
    private final Set<Fingerprint> scheduledVouches = new HashSet<>();

    /**
     * What the reports depend on.
     *
     * @param registry the suspicions of the whole fleet
     * @param publishedVersion returns the version at which a suspicion was published last, zero if it is not published
     * @param probe checks whether a server has stopped
     * @param mayHaveLackedMemory whether a server may have ended for lack of memory
     * @param clock the monotonic clock
     * @param timer runs tasks on the event loop of the requests
     * @param random draws delays
     */
    public record Environment(
            ControlGroupCrashRegistry registry,
            ToLongFunction<Fingerprint> publishedVersion,
            CrashProbe probe,
            Predicate<BackendServer> mayHaveLackedMemory,
            MonotonicClock clock,
            Timer timer,
            Random random) {}

    /**
     * Creates the reports of one VM.
     *
     * @param environment what they depend on
     */
    public CrashReports(Environment environment) {
        this.registry = environment.registry();
        this.probe = environment.probe();
        this.mayHaveLackedMemory = environment.mayHaveLackedMemory();
        this.timer = environment.timer();
        this.random = environment.random();
        this.trials = new QuarantineTrials(
                registry::requestTrial,
                environment.publishedVersion(),
                environment.clock(),
                task -> timer.schedule(Duration.ZERO, task));
        this.testedParts = Caffeine.newBuilder()
                .ticker(environment.clock()::nanoTime)
                .maximumSize(MAX_TESTED_PARTS)
                .expireAfterWrite(TESTED_RETENTION)
                .build();
    }

    @Override
    public boolean isQuarantined(CrashSuspects suspects) {
        return isQuarantined(suspects.request()) || suspects.parts().stream().anyMatch(this::isQuarantined);
    }

    private boolean isQuarantined(Fingerprint fingerprint) {
        return registry.suspicion(fingerprint) == Suspicion.QUARANTINED;
    }

    @Override
    public void requestTrial(CrashSuspects suspects, Consumer<Optional<SuspectTrial>> listener) {
        List<Fingerprint> quarantined = Stream.concat(Stream.of(suspects.request()), suspects.parts().stream())
                .filter(this::isQuarantined)
                .toList();
        trials.acquire(
                quarantined,
                isGranted ->
                        listener.accept(isGranted ? Optional.of(new SuspectTrial(quarantined)) : Optional.empty()));
    }

    @Override
    public void giveBack(SuspectTrial trial) {
        trials.giveBack(trial.suspects());
    }

    /**
     * Vouches for the suspected parts with which requests have succeeded on this VM.
     *
     * @param parts the suspected parts for which no VM has vouched
     */
    public void vouch(Set<Fingerprint> parts) {
        unvouchedParts = parts;
        parts.stream()
                .filter(part -> testedParts.getIfPresent(part) != null)
                .filter(scheduledVouches::add)
                .forEach(part -> timer.schedule(
                        Duration.ofMillis(random.nextInt(MAX_VOUCH_DELAY_MILLIS)), () -> vouchUnlessDone(part)));
    }

    private void vouchUnlessDone(Fingerprint part) {
        scheduledVouches.remove(part);
        if (unvouchedParts.contains(part) && testedParts.getIfPresent(part) != null) {
            LOGGER.info("event=part-vouched-for part={} suspicion={}", part.value(), registry.suspicion(part));
            registry.vouch(part);
        }
    }

    @Override
    public void reportConnectionLoss(CrashSuspects suspects, BackendServer server) {
        if (mayHaveLackedMemory.test(server)) {
            LOGGER.info(
                    "event=crash-not-suspected server={} incarnation={} request={}",
                    server.name(),
                    server.incarnation(),
                    suspects.request().value());
            return;
        }
        probe.hasStopped(server).onSuccess(hasStopped -> {
            if (hasStopped) {
                reportCrash(suspects, server);
            }
        });
    }

    private void reportCrash(CrashSuspects suspects, BackendServer server) {
        List<Fingerprint> untested = suspects.parts().stream()
                .filter(part -> testedParts.getIfPresent(part) == null)
                .toList();
        boolean isUntested = !untested.isEmpty();
        List<Fingerprint> reported = isUntested ? untested : suspects.parts();
        LOGGER.info(
                "event=server-ended-during-request server={} incarnation={} request={} parts={} untested={}",
                server.name(),
                server.incarnation(),
                suspects.request().value(),
                Fingerprints.join(reported),
                isUntested);
        registry.reportCrash(suspects.request(), reported, isUntested, server.name(), server.incarnation());
    }

    @Override
    public void reportHarmless(CrashSuspects suspects) {
        suspects.parts().forEach(part -> {
            testedParts.put(part, true);
            clear(part);
        });
        clear(suspects.request());
    }

    private void clear(Fingerprint fingerprint) {
        Suspicion suspicion = registry.suspicion(fingerprint);
        if (suspicion != Suspicion.NONE) {
            LOGGER.info("event=suspicion-cleared suspect={} suspicion={}", fingerprint.value(), suspicion);
            registry.reportAnswered(fingerprint);
        }
    }
}
