package org.borageproxy.server;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlGroupCrashRegistry;
import org.borageproxy.execution.CrashProbe;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.forward.CrashSuspects;
import org.borageproxy.forward.SuspectRequests;
import org.borageproxy.membership.BackendServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports requests during whose beginning a backend server crashed. A lost connection alone is not a crash: the server
 * must also refuse a new connection. Parts of prompts with which requests have succeeded on this VM are reported only
 * for requests without any other part. Confined to the event loop of the requests.
 */
final class CrashReports implements SuspectRequests {

    private static final Logger LOGGER = LoggerFactory.getLogger(CrashReports.class);
    /** Period after a success in which a part counts as tested. */
    private static final Duration TESTED_RETENTION = Duration.ofSeconds(60);

    private static final int MAX_TESTED_PARTS = 20_000;

    private final ControlGroupCrashRegistry registry;
    private final CrashProbe probe;
    private final Predicate<BackendServer> mayHaveLackedMemory;
    private final Cache<Fingerprint, Boolean> testedParts = Caffeine.newBuilder()
            .maximumSize(MAX_TESTED_PARTS)
            .expireAfterWrite(TESTED_RETENTION)
            .build();

    CrashReports(
            GatewayRuntime runtime,
            ControlClient client,
            CrashProbe probe,
            Predicate<BackendServer> mayHaveLackedMemory) {
        this.mayHaveLackedMemory = mayHaveLackedMemory;
        this.registry = new ControlGroupCrashRegistry(client, runtime.spread()::suspicion);
        this.probe = probe;
    }

    @Override
    public boolean isQuarantined(CrashSuspects suspects) {
        return isQuarantined(suspects.request()) || suspects.parts().stream().anyMatch(this::isQuarantined);
    }

    private boolean isQuarantined(Fingerprint fingerprint) {
        return registry.suspicion(fingerprint) == Suspicion.QUARANTINED;
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
                reported.isEmpty()
                        ? "-"
                        : reported.stream().map(Fingerprint::value).collect(Collectors.joining(",")),
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
