package org.borageproxy.control;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.borageproxy.execution.CrashRegistry;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.wire.proto.ControlProtocol.ClearCrash;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.ReportCrash;

/**
 * Crash reports kept by the control group. What this VM reported itself holds here at once, before it has spread. Safe
 * for use by any thread.
 */
public final class CrashRegistryForControlGroup implements CrashRegistry {

    /** The longest time that a report may take. */
    private static final Duration PATIENCE = Duration.ofSeconds(10);

    /** How long this VM's own reports hold before they have spread. */
    private static final Duration OWN_REPORTS = Duration.ofSeconds(30);

    /** The number of own reports that are kept. */
    private static final int KEPT_REPORTS = 10_000;

    /** Submits commands. */
    private final ControlClient client;

    /** Returns what has spread to this VM. */
    private final Function<Fingerprint, Suspicion> heard;

    /** What this VM reported itself. */
    private final Cache<Fingerprint, Suspicion> own = Caffeine.newBuilder()
            .maximumSize(KEPT_REPORTS)
            .expireAfterWrite(OWN_REPORTS)
            .build();

    /**
     * Creates a registry.
     *
     * @param client submits commands
     * @param heard returns what has spread to this VM
     */
    public CrashRegistryForControlGroup(ControlClient client, Function<Fingerprint, Suspicion> heard) {
        this.client = client;
        this.heard = heard;
    }

    @Override
    public Suspicion suspicion(Fingerprint fingerprint) {
        Suspicion spread = heard.apply(fingerprint);
        Suspicion reported = own.getIfPresent(fingerprint);
        return reported == null || reported.compareTo(spread) < 0 ? spread : reported;
    }

    @Override
    public CompletionStage<Suspicion> reportCrash(
            Fingerprint fingerprint, BackendServerName server, long incarnation, boolean alone) {
        own.put(fingerprint, suspicion(fingerprint) == Suspicion.NONE ? Suspicion.SUSPECT : suspicion(fingerprint));
        Command.Builder command = Command.newBuilder()
                .setReportCrash(ReportCrash.newBuilder()
                        .setFingerprint(fingerprint.value())
                        .setServer(server.value())
                        .setIncarnation(incarnation)
                        .setAlone(alone));
        return client.expect(command, client.in(PATIENCE)).thenApply(reply -> {
            Suspicion suspicion = Suspicion.values()[reply.getCrash().getSuspicion()];
            own.put(fingerprint, suspicion);
            return suspicion;
        });
    }

    @Override
    public void reportAnswered(Fingerprint fingerprint) {
        if (suspicion(fingerprint) != Suspicion.SUSPECT) {
            return;
        }
        own.invalidate(fingerprint);
        Command.Builder command =
                Command.newBuilder().setClearCrash(ClearCrash.newBuilder().setFingerprint(fingerprint.value()));
        client.submit(command, client.in(PATIENCE));
    }
}
