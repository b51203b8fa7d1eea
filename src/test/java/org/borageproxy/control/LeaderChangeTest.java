package org.borageproxy.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.Claim;
import org.borageproxy.wire.proto.ControlProtocol.ClaimReply;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.CommandAnswer;
import org.borageproxy.wire.proto.ControlProtocol.CommandRequest;
import org.borageproxy.wire.proto.ControlProtocol.PublishDocument;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests commands around a change of the leader, in virtual time. Guards against commands that wait for a former leader
 * although another one is elected: operators give up after one second.
 */
class LeaderChangeTest {

    private static final VmName C1 = new VmName("c1");
    private static final VmName C2 = new VmName("c2");
    private static final VmName C3 = new VmName("c3");
    private static final VmName ENTRY = new VmName("e1");

    /** Longest time from one message to another VM and back. */
    private static final long ROUND_TRIP_MILLIS = 2;

    /** Time from the freeze of a leader to the election of the next one, as seen in a play. */
    private static final Duration ELECTION = Duration.ofMillis(540);

    /** Longest delay of an attempt after one that was refused. */
    private static final long RETRY_MILLIS = 100;

    private static final long CHECK_MILLIS = 20;

    private static final long PROBE_MILLIS = 250;

    private final FleetFake time = new FleetFake();
    private final Group group = new Group();

    @Test
    void firstCommandAfterElectionReachesLeaderThatOwnMemberFollows() {
        for (VmName vm : List.of(C2, C3)) {
            ControlClient client = group.client(vm);
            group.elect(C1);
            submitAndAwait(client, "before " + vm);
            group.freeze(C1);
            time.run(ELECTION);
            group.elect(C2);
            long took = submitAndAwait(client, "after " + vm);
            assertTrue(took <= ROUND_TRIP_MILLIS, "on " + vm + " took " + took);
            group.thaw(C1);
        }
    }

    @Test
    void commandPendingAtFrozenLeaderIsSentToNextLeaderOnceOwnMemberFollowsIt() {
        ControlClient client = group.client(C3);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.freeze(C1);
        CompletionStage<Submission> pending = submit(client, "during");
        time.run(ELECTION);
        group.elect(C2);
        long took = await(pending);
        assertTrue(took <= CHECK_MILLIS + ROUND_TRIP_MILLIS, "took " + took + " after the election");
        assertEquals(List.of("before", "during"), group.applied);
    }

    @Test
    void firstCommandAfterElectionOfVmOutsideGroupReachesNextLeaderThroughAnotherControlVm() {
        ControlClient client = group.client(ENTRY);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.freeze(C1);
        time.run(ELECTION);
        group.elect(C2);
        long took = submitAndAwait(client, "after");
        assertTrue(took <= PROBE_MILLIS + CHECK_MILLIS + 2 * ROUND_TRIP_MILLIS, "took " + took);
        long tookNext = submitAndAwait(client, "next");
        assertTrue(tookNext <= ROUND_TRIP_MILLIS, "next took " + tookNext);
        assertEquals(List.of("before", "after", "next"), group.applied);
    }

    @Test
    void commandOfVmOutsideGroupPendingDuringElectionReachesNextLeader() {
        ControlClient client = group.client(ENTRY);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.freeze(C1);
        CompletionStage<Submission> pending = submit(client, "during");
        time.run(ELECTION);
        group.elect(C2);
        long took = await(pending);
        assertTrue(took <= PROBE_MILLIS + CHECK_MILLIS + 2 * ROUND_TRIP_MILLIS, "took " + took + " after the election");
        assertEquals(List.of("before", "during"), group.applied);
    }

    @Test
    void probeOfOneCommandFindsLeaderForAllThatWait() {
        ControlClient client = group.client(ENTRY);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.freeze(C1);
        time.run(ELECTION);
        group.elect(C2);
        List<CompletionStage<Submission>> pending = new ArrayList<>();
        for (int number = 0; number < 50; number++) {
            pending.add(submit(client, "command " + number));
        }
        long startedAt = time.nanoTime();
        pending.forEach(this::await);
        long took = Duration.ofNanos(time.nanoTime() - startedAt).toMillis();
        assertTrue(took <= PROBE_MILLIS + 2 * CHECK_MILLIS + 2 * ROUND_TRIP_MILLIS, "took " + took);
        assertTrue(group.arrivals(C3) <= 1, "probes at c3 " + group.arrivals(C3));
        assertEquals(51, group.applied.size());
    }

    @Test
    void commandWaitsForElectionWhileNoLeaderIsKnown() {
        group.freeze(C1);
        for (VmName vm : List.of(C2, ENTRY)) {
            group.elect(null);
            CompletionStage<Submission> pending = submit(group.client(vm), "first of " + vm);
            time.run(ELECTION);
            group.elect(C2);
            long took = await(pending);
            assertTrue(
                    took <= PROBE_MILLIS + CHECK_MILLIS + RETRY_MILLIS + ROUND_TRIP_MILLIS,
                    "on " + vm + " took " + took);
        }
        assertEquals(2, group.applied.size());
    }

    @Test
    void memberThatFollowsFrozenFormerLeaderDelaysCommandForLessThanOperatorsWait() {
        ControlClient client = group.client(C2);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.freeze(C1);
        group.elect(C3);
        group.follow(C2, Optional.of(C1));
        long took = submitAndAwait(client, "after");
        assertTrue(took <= PROBE_MILLIS + CHECK_MILLIS + 2 * ROUND_TRIP_MILLIS, "took " + took);
        assertEquals(List.of("before", "after"), group.applied);
    }

    @Test
    void refusalOfFormerLeaderGoesBeforeOutdatedMember() {
        ControlClient client = group.client(C2);
        group.elect(C3);
        group.follow(C2, Optional.of(C1));
        long took = submitAndAwait(client, "first");
        assertTrue(took <= 2 * ROUND_TRIP_MILLIS, "took " + took);
        group.follow(C1, Optional.empty());
        long tookWithoutHint = submitAndAwait(client, "second");
        assertTrue(tookWithoutHint <= 2 * RETRY_MILLIS + 3 * ROUND_TRIP_MILLIS, "took " + tookWithoutHint);
        assertEquals(List.of("first", "second"), group.applied);
    }

    @Test
    void lateReplyOfAbandonedAttemptIsOutcomeOfCommandAppliedOnce() throws InvalidProtocolBufferException {
        ControlClient client = group.client(C2);
        group.elect(C1);
        group.answerDelay = Duration.ofMillis(100);
        CompletionStage<Submission> pending = client.submit(claim(), client.deadlineAfter(Duration.ofSeconds(5)));
        time.run(Duration.ofMillis(10));
        group.freeze(C2);
        group.follow(C2, Optional.of(C2));
        Submission.Replied replied = assertInstanceOf(Submission.Replied.class, time.await(pending));
        assertEquals(1, replied.reply().getClaim().getEpoch());
        assertEquals(1, group.arrivals(C2));
        group.elect(C2);
        group.thaw(C2);
        time.run(Duration.ofSeconds(1));
        assertEquals(2, group.replies.size());
        for (ByteString reply : group.replies) {
            ClaimReply claim = Reply.parseFrom(reply).getClaim();
            assertEquals(ClaimReply.Decision.GRANTED, claim.getDecision());
            assertEquals(1, claim.getEpoch());
        }
    }

    @Test
    void lateRefusalOfAbandonedAttemptChangesNothing() {
        ControlClient client = group.client(ENTRY);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.freeze(C1);
        group.elect(C2);
        submitAndAwait(client, "after");
        group.follow(C1, Optional.of(C1));
        group.thaw(C1);
        time.run(Duration.ofMillis(100));
        int arrivals = group.arrivals(C1);
        submitAndAwait(client, "next");
        assertEquals(arrivals, group.arrivals(C1));
        assertEquals(List.of("before", "after", "next"), group.applied);
    }

    @Test
    void outcomeIsUnknownWhileAbandonedAttemptIsUnanswered() {
        ControlClient client = group.client(C2);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.freeze(C1);
        CompletionStage<Submission> pending =
                client.submit(command("during"), client.deadlineAfter(Duration.ofMillis(700)));
        time.run(Duration.ofMillis(100));
        group.elect(null);
        group.follow(C2, Optional.of(C3));
        assertInstanceOf(Submission.Unknown.class, time.await(pending));
    }

    @Test
    void slowLeaderGetsOneCopyOfEachCommandAndOthersOneProbePerInterval() {
        ControlClient client = group.client(ENTRY);
        group.elect(C1);
        submitAndAwait(client, "before");
        int arrivals = group.arrivals(C1);
        int othersArrivals = group.arrivals(C2) + group.arrivals(C3);
        group.answerDelay = Duration.ofMillis(900);
        List<CompletionStage<Submission>> pending = new ArrayList<>();
        for (int number = 0; number < 200; number++) {
            pending.add(submit(client, "command " + number));
        }
        pending.forEach(this::await);
        assertEquals(200, group.arrivals(C1) - arrivals);
        int probes = group.arrivals(C2) + group.arrivals(C3) - othersArrivals;
        assertTrue(probes <= 900 / PROBE_MILLIS, "probes " + probes);
        assertEquals(201, group.applied.size());
    }

    /** Guards against commands that circle among the other control VMs while the leader is slow. */
    @Test
    void slowLeaderThatMemberFollowsIsAwaitedDespiteOutdatedPresumption() {
        ControlClient client = group.client(C2);
        group.elect(C3);
        submitAndAwait(client, "before");
        group.elect(C1);
        int others = group.arrivals(C2) + group.arrivals(C3);
        group.answerDelay = Duration.ofMillis(900);
        List<CompletionStage<Submission>> pending = new ArrayList<>();
        for (int number = 0; number < 50; number++) {
            pending.add(submit(client, "command " + number));
        }
        pending.forEach(this::await);
        assertEquals(50, group.arrivals(C1));
        int probes = group.arrivals(C2) + group.arrivals(C3) - others;
        assertTrue(probes <= 900 / PROBE_MILLIS, "probes " + probes);
    }

    /** Guards against the same after a wrong hint. */
    @Test
    void slowLeaderIsAwaitedAgainAfterWrongHint() {
        ControlClient client = group.client(ENTRY);
        group.elect(C1);
        submitAndAwait(client, "before");
        group.follow(C2, Optional.of(C3));
        group.follow(C3, Optional.of(C1));
        int arrivals = group.arrivals(C1);
        int others = group.arrivals(C2) + group.arrivals(C3);
        group.answerDelay = Duration.ofMillis(900);
        List<CompletionStage<Submission>> pending = new ArrayList<>();
        for (int number = 0; number < 50; number++) {
            pending.add(submit(client, "command " + number));
        }
        pending.forEach(this::await);
        assertEquals(50, group.arrivals(C1) - arrivals);
        int copies = group.arrivals(C2) + group.arrivals(C3) - others;
        assertTrue(copies <= 50 + 900 / PROBE_MILLIS, "copies " + copies);
    }

    private static Command.Builder command(String name) {
        return Command.newBuilder()
                .setPublishDocument(
                        PublishDocument.newBuilder().setNumber(1).setContent(ByteString.copyFromUtf8(name)));
    }

    private static Command.Builder claim() {
        return Command.newBuilder()
                .setClaim(Claim.newBuilder()
                        .setWorkspace("w")
                        .setIdempotencyKey("k")
                        .setDigest("d")
                        .setHolder("c2")
                        .setHoldMillis(60_000));
    }

    private CompletionStage<Submission> submit(ControlClient client, String name) {
        return client.submit(command(name), client.deadlineAfter(Duration.ofSeconds(5)));
    }

    private long submitAndAwait(ControlClient client, String name) {
        return await(submit(client, name));
    }

    /** Returns the milliseconds until the command was applied. */
    private long await(CompletionStage<Submission> pending) {
        long startedAt = time.nanoTime();
        assertInstanceOf(Submission.Replied.class, time.await(pending));
        return Duration.ofNanos(time.nanoTime() - startedAt).toMillis();
    }

    /** Control VMs with one common state, and the network to them. */
    private final class Group {

        private final ControlState state = new ControlState();

        /** The leader that each member follows. */
        private final Map<VmName, Optional<VmName>> followed = new HashMap<>();

        private final Map<VmName, List<Runnable>> heldWhileFrozen = new HashMap<>();

        private final Map<VmName, Integer> arrivals = new HashMap<>();

        /** Names of the published documents in the order in which they were applied. */
        private final List<String> applied = new ArrayList<>();

        private final List<ByteString> replies = new ArrayList<>();

        private final Set<String> identities = new HashSet<>();

        private Optional<VmName> leader = Optional.empty();

        /** Time that the leader takes to answer a command that it has applied. */
        private Duration answerDelay = Duration.ZERO;

        private ControlClient client(VmName self) {
            Network network = new Network();
            return new ControlClient(
                    self,
                    network,
                    () -> List.of(C1, C2, C3),
                    time::nanoTime,
                    time.timer(),
                    () -> followed.getOrDefault(self, Optional.empty()));
        }

        /** Makes a VM the leader, which all members that are not frozen follow. */
        private void elect(VmName elected) {
            leader = Optional.ofNullable(elected);
            for (VmName vm : List.of(C1, C2, C3)) {
                if (!heldWhileFrozen.containsKey(vm)) {
                    followed.put(vm, leader);
                }
            }
        }

        private void follow(VmName member, Optional<VmName> presumed) {
            followed.put(member, presumed);
        }

        private void freeze(VmName vm) {
            heldWhileFrozen.put(vm, new ArrayList<>());
        }

        private void thaw(VmName vm) {
            heldWhileFrozen.remove(vm).forEach(Runnable::run);
        }

        private int arrivals(VmName vm) {
            return arrivals.getOrDefault(vm, 0);
        }

        private void handle(VmName vm, ByteString body, CompletableFuture<ByteString> answer) {
            if (!leader.equals(Optional.of(vm))) {
                String hint = followed.getOrDefault(vm, Optional.empty())
                        .map(VmName::value)
                        .orElse("");
                respond(answer, Duration.ZERO, CommandAnswer.newBuilder().setNotLeader(hint));
                return;
            }
            try {
                Command command = CommandRequest.parseFrom(body).getCommand();
                if (command.hasPublishDocument() && identities.add(command.getIdentity())) {
                    applied.add(command.getPublishDocument().getContent().toStringUtf8());
                }
                ByteString reply = state.apply(replies.size() + 1L, 0, command.toByteString());
                replies.add(reply);
                respond(answer, answerDelay, CommandAnswer.newBuilder().setReply(Reply.parseFrom(reply)));
            } catch (InvalidProtocolBufferException exception) {
                throw new IllegalArgumentException(exception);
            }
        }

        private void respond(CompletableFuture<ByteString> answer, Duration delay, CommandAnswer.Builder content) {
            ByteString body = content.build().toByteString();
            time.timer().schedule(delay.plusMillis(ROUND_TRIP_MILLIS / 2), () -> answer.complete(body));
        }

        private final class Network implements VmNetwork {

            @Override
            public void send(VmName recipient, MessageKind kind, ByteString body) {
                throw new UnsupportedOperationException();
            }

            @Override
            public CompletionStage<ByteString> request(
                    VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
                CompletableFuture<ByteString> answer = new CompletableFuture<>();
                time.timer()
                        .schedule(
                                Duration.ofNanos(deadline.remainingNanos(time.nanoTime())),
                                () -> answer.completeExceptionally(new UnreachableException("deadline passed")));
                time.timer().schedule(Duration.ofMillis(ROUND_TRIP_MILLIS / 2), () -> {
                    arrivals.merge(recipient, 1, Integer::sum);
                    Runnable handling = () -> handle(recipient, body, answer);
                    if (heldWhileFrozen.containsKey(recipient)) {
                        heldWhileFrozen.get(recipient).add(handling);
                    } else {
                        handling.run();
                    }
                });
                return answer;
            }

            @Override
            public void registerHandler(MessageKind kind, Handler handler) {
                throw new UnsupportedOperationException();
            }
        }
    }
}
