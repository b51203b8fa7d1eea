package org.borageproxy.control;

import java.time.Duration;
import java.util.List;
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
import org.borageproxy.wire.proto.ControlProtocol.SuspectPart;

/**
 * Stores crash reports in the control group. Reports of this VM take effect on it immediately, before the control group
 * publishes them. Thread safe.
 */
public final class ControlGroupCrashRegistry implements CrashRegistry {

    /** Maximum time for a report, including retries. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Retention of this VM's own reports; covers the time until the control group has published them. */
    private static final Duration OWN_REPORT_RETENTION = Duration.ofSeconds(30);

    /** Minimum time between two clears of the same suspicion. */
    private static final Duration CLEAR_INTERVAL = Duration.ofMillis(500);

    /** Maximum number of retained reports of this VM. */
    private static final int MAX_OWN_REPORTS = 10_000;

    private final ControlClient client;

    /** Looks up the published suspicion of a request. */
    private final Function<Fingerprint, Suspicion> published;

    /** Suspicions from this VM's own reports. */
    private final Cache<Fingerprint, Suspicion> ownReports = Caffeine.newBuilder()
            .maximumSize(MAX_OWN_REPORTS)
            .expireAfterWrite(OWN_REPORT_RETENTION)
            .build();

    /** What this VM has cleared and the control group may not have published yet. */
    private final Cache<Fingerprint, Boolean> ownClears = Caffeine.newBuilder()
            .maximumSize(MAX_OWN_REPORTS)
            .expireAfterWrite(CLEAR_INTERVAL)
            .build();

    /**
     * Creates a registry.
     *
     * @param client submits commands to the control group
     * @param published looks up the published suspicion of a request
     */
    public ControlGroupCrashRegistry(ControlClient client, Function<Fingerprint, Suspicion> published) {
        this.client = client;
        this.published = published;
    }

    @Override
    public Suspicion suspicion(Fingerprint fingerprint) {
        Suspicion watched = published.apply(fingerprint);
        Suspicion own = ownReports.getIfPresent(fingerprint);
        return own == null || own.compareTo(watched) < 0 ? watched : own;
    }

    @Override
    public CompletionStage<Suspicion> reportCrash(
            Fingerprint fingerprint, BackendServerName server, long incarnation, boolean alone) {
        return submit(
                fingerprint,
                ReportCrash.newBuilder()
                        .setServer(server.value())
                        .setIncarnation(incarnation)
                        .setAlone(alone));
    }

    /**
     * Reports that a backend server crashed while it began a request, with the parts of the prompt that may be the
     * cause.
     *
     * @param request the fingerprint of the request
     * @param parts the fingerprints of the parts
     * @param isUntested whether no request with any of the parts had succeeded on this VM shortly before
     * @param server the backend server
     * @param incarnation the incarnation that crashed
     * @return the shared suspicion of the request once the report is durable, or a failure
     */
    public CompletionStage<Suspicion> reportCrash(
            Fingerprint request,
            List<Fingerprint> parts,
            boolean isUntested,
            BackendServerName server,
            long incarnation) {
        ReportCrash.Builder report =
                ReportCrash.newBuilder().setServer(server.value()).setIncarnation(incarnation);
        for (Fingerprint part : parts) {
            report.addParts(
                    SuspectPart.newBuilder().setFingerprint(part.value()).setUntested(isUntested));
        }
        return submit(request, report);
    }

    private CompletionStage<Suspicion> submit(Fingerprint fingerprint, ReportCrash.Builder report) {
        ownReports.put(
                fingerprint, suspicion(fingerprint) == Suspicion.NONE ? Suspicion.SUSPECT : suspicion(fingerprint));
        Command.Builder command = Command.newBuilder().setReportCrash(report.setFingerprint(fingerprint.value()));
        return client.submitForReply(command, client.deadlineAfter(TIMEOUT)).thenApply(reply -> {
            Suspicion suspicion = Suspicion.values()[reply.getCrash().getSuspicion()];
            ownReports.put(fingerprint, suspicion);
            return suspicion;
        });
    }

    @Override
    public void reportAnswered(Fingerprint fingerprint) {
        Suspicion suspicion = suspicion(fingerprint);
        boolean isClearable =
                suspicion == Suspicion.SUSPECT || suspicion == Suspicion.QUARANTINED && fingerprint.isPart();
        if (!isClearable || ownClears.getIfPresent(fingerprint) != null) {
            return;
        }
        ownReports.invalidate(fingerprint);
        ownClears.put(fingerprint, true);
        Command.Builder command =
                Command.newBuilder().setClearCrash(ClearCrash.newBuilder().setFingerprint(fingerprint.value()));
        client.submit(command, client.deadlineAfter(TIMEOUT));
    }
}
