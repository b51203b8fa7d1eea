package org.borageproxy.coordination;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.quota.RateShares;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CoordinationClientTest {

    private final VirtualTime time = new VirtualTime(1);
    private UsageReport report = UsageReport.getDefaultInstance();
    private int reportCount;
    private long lastReportNanos;
    private long longestPauseNanos;
    private final Failures failures = new Failures();

    /** Makes the next report or the next update fail. */
    private static final class Failures {
        private boolean isReportDue;
        private boolean isUpdateDue;

        void reportOnce() {
            if (isReportDue) {
                isReportDue = false;
                throw new IllegalStateException("thrown by the test");
            }
        }

        void updateOnce() {
            if (isUpdateDue) {
                isUpdateDue = false;
                throw new IllegalStateException("thrown by the test");
            }
        }
    }

    private final CoordinationClient client = new CoordinationClient(
            new AnsweringNetwork(),
            () -> List.of(new VmName("c")),
            time::nowNanos,
            (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task),
            Runnable::run,
            () -> {
                failures.reportOnce();
                return report;
            },
            (update, reportedAtNanos) -> failures.updateOnce());

    private int reportsInTenSeconds() {
        int before = reportCount;
        longestPauseNanos = 0;
        time.advance(Duration.ofSeconds(10));
        return reportCount - before;
    }

    /** Load pattern: hundreds of entries without requests. */
    @Test
    void idleEntryReportsRarelyButBeforeItsGrantsExpire() {
        client.start();
        time.advance(Duration.ofSeconds(1));
        assertTrue(reportsInTenSeconds() <= 40);
        assertTrue(longestPauseNanos < RateShares.GRANT_VALIDITY.toNanos(), "pause of " + longestPauseNanos + " ns");
    }

    @Test
    void entryWithRequestsReportsOften() {
        report = UsageReport.newBuilder()
                .addServers(ServerUsage.newBuilder().setName("s").setRequests(1))
                .build();
        client.start();
        time.advance(Duration.ofSeconds(1));
        assertEquals(83, reportsInTenSeconds(), 1);
    }

    /** Guards against an entry without coordinator for good after one error. */
    @Test
    void reportsGoOnAfterErrors() {
        client.start();
        time.advance(Duration.ofSeconds(1));
        failures.isReportDue = true;
        assertTrue(reportsInTenSeconds() > 10);
        failures.isUpdateDue = true;
        assertTrue(reportsInTenSeconds() > 10);
        assertTrue(client.coordinator().isPresent());
    }

    private final class AnsweringNetwork implements VmNetwork {

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            throw new AssertionError("sent a message: " + kind);
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            reportCount++;
            longestPauseNanos = Math.max(longestPauseNanos, time.nowNanos() - lastReportNanos);
            lastReportNanos = time.nowNanos();
            return CompletableFuture.completedFuture(
                    CoordinationUpdate.newBuilder().setCoordinates(true).build().toByteString());
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            // No notice is sent.
        }
    }
}
