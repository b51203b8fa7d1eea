package org.borageproxy.liveness;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against ends of answers that anything but an answer by name shows, in virtual time. */
class EndConfirmationOutcomeTest {

    private static final String NAMED = "named";
    private static final String REFUSED = "refused";
    private static final String OTHER = "other";

    private final VirtualTime time = new VirtualTime(0);
    private final Deque<FakeLink> idle = new ArrayDeque<>();
    private final List<FakeLink> opened = new ArrayList<>();
    private final List<Duration> refusals = new ArrayList<>();
    private boolean isLatest = true;
    private boolean isReached = true;

    /** Answers after a delay, or never. */
    private final class FakeLink implements EndConfirmation.Link {
        private final String answer;
        private final int delayMillis;
        private boolean isClosed;

        FakeLink(String answer, int delayMillis) {
            this.answer = answer;
            this.delayMillis = delayMillis;
        }

        @Override
        public void ask(HttpRequest request, Consumer<HttpResponse> onHead, Consumer<String> onFailure) {
            time.scheduleAfterMillis(delayMillis, () -> {
                if (isClosed) {
                    return;
                }
                if (answer.isEmpty()) {
                    onFailure.accept("connection closed");
                } else {
                    onHead.accept(
                            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(200, answer)));
                }
            });
        }

        @Override
        public void close() {
            isClosed = true;
        }
    }

    private final class FakeEnvironment implements EndConfirmation.Environment {
        private final FakeLink next;

        FakeEnvironment(FakeLink next) {
            this.next = next;
        }

        @Override
        public Optional<EndConfirmation.Link> takeIdle(Optional<VmName> relay) {
            return Optional.ofNullable(idle.poll());
        }

        @Override
        public CompletionStage<EndConfirmation.Link> open(Optional<VmName> relay) {
            if (!isReached) {
                return CompletableFuture.failedFuture(new IllegalStateException("refused"));
            }
            opened.add(next);
            return CompletableFuture.completedFuture(next);
        }

        @Override
        public void recordRefusal(Optional<VmName> relay, Duration refusal) {
            refusals.add(refusal);
        }

        @Override
        public boolean isLatestIncarnation() {
            return isLatest;
        }

        @Override
        public long nanoTime() {
            return time.nowNanos();
        }

        @Override
        public void schedule(Deadline deadline, Runnable task) {
            time.scheduleAfterNanos(deadline.remainingNanos(time.nowNanos()), task);
        }

        @Override
        public void record(boolean isConfirmed, long nanos) {
            // The tests assert on the outcome.
        }
    }

    private static boolean says(HttpResponse response, String reason) {
        return response.status().reasonPhrase().equals(reason);
    }

    private CompletableFuture<Void> confirm(FakeLink newLink) {
        IdentityCheck check = new IdentityCheck(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/healthz"),
                response -> says(response, NAMED),
                response -> says(response, REFUSED),
                response -> says(response, REFUSED) ? Optional.of(Duration.ofSeconds(5)) : Optional.empty());
        return new EndConfirmation(
                        BackendServerFixture.service("r0", 80), Optional.empty(), check, new FakeEnvironment(newLink))
                .begin()
                .toCompletableFuture();
    }

    private boolean isConfirmed(FakeLink newLink) {
        CompletableFuture<Void> outcome = confirm(newLink);
        time.advance(Duration.ofSeconds(5));
        assertTrue(outcome.isDone());
        return !outcome.isCompletedExceptionally();
    }

    @Test
    void nameOnANewConnectionConfirmsTheEndWithinItsTimeout() {
        assertTrue(isConfirmed(new FakeLink(NAMED, 299)));
        assertFalse(isConfirmed(new FakeLink(NAMED, 301)));
        assertTrue(opened.stream().allMatch(link -> link.isClosed));
    }

    @Test
    void nameOnAnOpenConnectionConfirmsTheEndLater() {
        FakeLink open = new FakeLink(NAMED, 999);
        idle.add(open);
        assertTrue(isConfirmed(new FakeLink(OTHER, 1)));
        assertTrue(open.isClosed);
        idle.add(new FakeLink(NAMED, 1_001));
        assertFalse(isConfirmed(new FakeLink(NAMED, 1)));
    }

    /** A refusal on a connection that was used before may be the copy of an earlier one. */
    @Test
    void refusalWithoutANameCountsOnANewConnectionOnly() {
        idle.add(new FakeLink(REFUSED, 1));
        assertFalse(isConfirmed(new FakeLink(OTHER, 1)));
        assertEquals(1, opened.size());
        idle.add(new FakeLink(REFUSED, 1));
        assertTrue(isConfirmed(new FakeLink(REFUSED, 1)));
        assertEquals(
                List.of(5L, 5L, 5L), refusals.stream().map(Duration::toSeconds).toList());
    }

    @Test
    void closedIdleConnectionSaysNothing() {
        idle.add(new FakeLink("", 1));
        assertTrue(isConfirmed(new FakeLink(NAMED, 1)));
        idle.add(new FakeLink("", 400));
        assertFalse(isConfirmed(new FakeLink(NAMED, 1)));
    }

    @Test
    void refusedConnectionAndLaterIncarnationConfirmNothing() {
        isReached = false;
        assertFalse(isConfirmed(new FakeLink(NAMED, 1)));
        isReached = true;
        isLatest = false;
        assertFalse(isConfirmed(new FakeLink(NAMED, 1)));
        assertFalse(isConfirmed(new FakeLink("", 1)));
    }
}
