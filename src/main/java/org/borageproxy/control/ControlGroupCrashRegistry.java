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
import org.borageproxy.wire.proto.ControlProtocol.GrantTrial;
import org.borageproxy.wire.proto.ControlProtocol.ReportCrash;
import org.borageproxy.wire.proto.ControlProtocol.SuspectPart;
import org.borageproxy.wire.proto.ControlProtocol.TrialReply;
import org.borageproxy.wire.proto.ControlProtocol.VouchForPart;

/**
 * Stores crash reports in the control group. Reports of this VM take effect on it immediately, before the control group
 * publishes them. Thread safe.
 */
public final class ControlGroupCrashRegistry implements CrashRegistry {

    /** Maximum time for a report, including retries. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Maximum time for a request of a trial, for which a caller waits. */
    private static final Duration TRIAL_TIMEOUT = Duration.ofMillis(500);

    /** Time until the next request of a trial if the control group does not answer, or does not grant trials yet. */
    private static final Duration UNAVAILABLE_TRIAL_WAIT = Duration.ofMillis(1000);

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
    private final Cache<Fingerprint, Suspicion> ownReports;

    /** What this VM has cleared and the control group may not have published yet. */
    private final Cache<Fingerprint, Boolean> ownClears;

    /**
     * Creates a registry.
     *
     * @param client submits commands to the control group
     * @param published looks up the published suspicion of a request
     */
    public ControlGroupCrashRegistry(ControlClient client, Function<Fingerprint, Suspicion> published) {
        this.client = client;
        this.published = published;
        this.ownReports = rememberFor(OWN_REPORT_RETENTION);
        this.ownClears = rememberFor(CLEAR_INTERVAL);
    }

    private <T> Cache<Fingerprint, T> rememberFor(Duration retention) {
        return Caffeine.newBuilder()
                .ticker(client::nanoTime)
                .maximumSize(MAX_OWN_REPORTS)
                .expireAfterWrite(retention)
                .build();
    }

    @Override
    public Suspicion suspicion(Fingerprint fingerprint) {
        Suspicion watched = published.apply(fingerprint);
        Suspicion own = ownReports.getIfPresent(fingerprint);
        if (own == null) {
            return watched;
        }
        if (own.compareTo(watched) <= 0) {
            // Published from now on: the end of the suspicion is watched as well.
            ownReports.invalidate(fingerprint);
            return watched;
        }
        return own;
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

    /**
     * Asks whether a request may be sent once although some of its suspects are quarantined.
     *
     * @param suspects the fingerprints of its quarantined suspects
     * @return whether the request may be sent, or when to ask again
     */
    public CompletionStage<TrialDecision> requestTrial(List<Fingerprint> suspects) {
        GrantTrial.Builder trial = GrantTrial.newBuilder();
        suspects.forEach(suspect -> trial.addFingerprints(suspect.value()));
        return client.submitForReply(Command.newBuilder().setGrantTrial(trial), client.deadlineAfter(TRIAL_TIMEOUT))
                .handle((reply, failure) -> {
                    if (failure != null || !reply.hasTrial()) {
                        return new TrialDecision(false, client.deadlineAfter(UNAVAILABLE_TRIAL_WAIT));
                    }
                    TrialReply decided = reply.getTrial();
                    if (decided.getGranted()) {
                        // This VM's report may be older than the end of the quarantine.
                        suspects.forEach(ownReports::invalidate);
                    }
                    return new TrialDecision(
                            decided.getGranted(), client.deadlineAfter(Duration.ofMillis(decided.getWaitMillis())));
                });
    }

    /**
     * States that requests with a suspected part have succeeded on this VM shortly before.
     *
     * @param part the fingerprint of the part
     */
    public void vouch(Fingerprint part) {
        Command.Builder command =
                Command.newBuilder().setVouchForPart(VouchForPart.newBuilder().setFingerprint(part.value()));
        client.submit(command, client.deadlineAfter(TIMEOUT));
    }

    @Override
    public void reportAnswered(Fingerprint fingerprint) {
        Suspicion suspicion = suspicion(fingerprint);
        if (suspicion == Suspicion.NONE || ownClears.getIfPresent(fingerprint) != null) {
            return;
        }
        ownReports.invalidate(fingerprint);
        ownClears.put(fingerprint, true);
        Command.Builder command =
                Command.newBuilder().setClearCrash(ClearCrash.newBuilder().setFingerprint(fingerprint.value()));
        client.submit(command, client.deadlineAfter(TIMEOUT));
    }
}
