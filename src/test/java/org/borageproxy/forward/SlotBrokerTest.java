package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerStatement;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotRequest;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlotBrokerTest {

    private static final VmName ENTRY = new VmName("entry");
    private static final EnginePool ENGINES = new EnginePool(64, 100_000, 2, 200_000, 8, 2, Map.of());

    private final VirtualTime time = new VirtualTime(1);
    private Optional<Duration> untilArrival = Optional.empty();
    private Optional<EnginePool> engines = Optional.of(ENGINES);
    private int waiting;
    private int selections;
    private final List<BackendServer> servers = new ArrayList<>();
    private ServerPool pool;
    private final SlotBroker broker = broker();

    private SlotBroker broker() {
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("other", "n"), "v1"));
        pool = new ServerPool(
                () -> {
                    selections++;
                    return List.copyOf(servers);
                },
                time::nowNanos,
                BackendServerFixture.ZONE,
                new Random(1),
                () -> 1);
        SlotBroker made = new SlotBroker(new SlotBroker.Environment(
                () -> true,
                pool,
                new StreamOrigins(time::nowNanos),
                service -> engines,
                time::nowNanos,
                (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task),
                new Demand()));
        made.recordReport(ENTRY, UsageReport.getDefaultInstance());
        return made;
    }

    private CompletableFuture<ByteString> ask(String model, int rank, int deadlineMillis, int waitedMillis) {
        return ask(model, rank, deadlineMillis, waitedMillis, new SlotAttributes("", "", 0));
    }

    private CompletableFuture<ByteString> ask(
            String model, int rank, int deadlineMillis, int waitedMillis, SlotAttributes attributes) {
        SlotRequest.Builder request = SlotRequest.newBuilder()
                .setZone("a")
                .setService("s")
                .setModel(model)
                .setPromptTokens(500)
                .setRank(rank)
                .setObjectiveMillis(1_200)
                .setDeadlineMillis(deadlineMillis)
                .setWaitedMillis(waitedMillis);
        attributes.addTo(request);
        return broker.handle(ENTRY, request.build().toByteString()).toCompletableFuture();
    }

    private static SlotAnswer answer(CompletableFuture<ByteString> future) throws Exception {
        assertTrue(future.isDone());
        return SlotAnswer.parseFrom(future.get());
    }

    /**
     * Guards against refusing requests whose model will be loaded in time: demand for a rarely used model rises while a
     * second copy of it is loaded from the weight store.
     */
    @Test
    void requestWaitsAndIsToldToAskAgainIfModelArrivesInTime() throws Exception {
        untilArrival = Optional.of(Duration.ofSeconds(2));
        CompletableFuture<ByteString> asked = ask("m", 5, 5_000, 0);
        assertFalse(asked.isDone());
        assertEquals(1, waiting);
        time.advance(SlotBroker.MAX_ANSWER_DELAY.plusMillis(1));
        assertEquals(SlotAnswer.Outcome.AGAIN, answer(asked).getOutcome());
        assertEquals(0, waiting);
    }

    @Test
    void requestIsRefusedImmediatelyIfModelArrivesTooLate() throws Exception {
        untilArrival = Optional.of(Duration.ofSeconds(8));
        SlotAnswer answer = answer(ask("m", 5, 5_000, 0));
        assertEquals(SlotAnswer.Outcome.NO_MODEL, answer.getOutcome());
        assertEquals(8_000, answer.getComeBackMillis());
    }

    @Test
    void requestForModelWithoutArrivalIsRefusedAfterShortWait() throws Exception {
        CompletableFuture<ByteString> asked = ask("m", 5, 15_000, 600);
        assertFalse(asked.isDone());
        time.advance(Duration.ofMillis(101));
        SlotAnswer answer = answer(asked);
        assertEquals(SlotAnswer.Outcome.NO_MODEL, answer.getOutcome());
        assertEquals(1_500, answer.getComeBackMillis());
    }

    /**
     * Guards against callers that come back too soon or all at once: in a burst, requests that cannot begin before
     * their deadline are told when the queue before them is expected to be empty, one after the other.
     */
    @Test
    void refusedRequestsComeBackWhenTheQueueIsExpectedToBeEmpty() throws Exception {
        int waitingRequests = 0;
        for (int request = 0; request < 200; request++) {
            waitingRequests += ask("n", 5, 9_000, 0).isDone() ? 0 : 1;
        }
        double workMillis = 500 / 19.0;
        SlotAnswer first = answer(ask("n", 5, 1_000, 0));
        assertEquals(SlotAnswer.Outcome.CROWDED, first.getOutcome());
        assertEquals(waitingRequests * workMillis, first.getComeBackMillis(), workMillis);
        SlotAnswer second = answer(ask("n", 5, 1_000, 0));
        assertEquals(first.getComeBackMillis() + workMillis, second.getComeBackMillis(), 2);
    }

    /** Guards against urgent requests that wait behind the others: an urgent one waits for the next slot only. */
    @Test
    void urgentRequestsDoNotWaitForLessUrgentOnes() throws Exception {
        for (int request = 0; request < 200; request++) {
            ask("n", 6, 9_000, 0);
        }
        CompletableFuture<ByteString> lessUrgent = ask("n", 6, 9_000, 0);
        CompletableFuture<ByteString> urgent = ask("n", 4, 3_000, 0);
        assertFalse(urgent.isDone(), "the engine has no room");
        // The engine has read all prompts: the grants expire, since no entry reports them.
        broker.recordReport(ENTRY, UsageReport.newBuilder().setLastSlot(1_000).build());
        time.advance(Duration.ofMillis(10));
        assertEquals(SlotAnswer.Outcome.CHOSEN, answer(urgent).getOutcome());
        assertFalse(lessUrgent.isDone());
    }

    /**
     * Load pattern: a wave of retries. A request that comes back when it was told goes before new ones of its rank; one
     * that comes back at once is told the same time again.
     */
    @Test
    void requestThatComesBackWhenToldGoesBeforeNewOnes() throws Exception {
        SlotAttributes attributes = new SlotAttributes("", "r", 7);
        for (int request = 0; request < 200; request++) {
            ask("n", 5, 9_000, 0);
        }
        SlotAnswer refused = answer(ask("n", 5, 1_000, 0, attributes));
        assertEquals(SlotAnswer.Outcome.CROWDED, refused.getOutcome());
        SlotAnswer refusedAgain = answer(ask("n", 5, 1_000, 0, attributes));
        assertEquals(refused.getComeBackMillis(), refusedAgain.getComeBackMillis());
        time.advance(Duration.ofMillis(refused.getComeBackMillis()));
        broker.recordReport(ENTRY, UsageReport.getDefaultInstance());
        for (int request = 0; request < 200; request++) {
            ask("n", 5, 9_000, 0);
        }
        CompletableFuture<ByteString> returned = ask("n", 5, 9_000, 0, attributes);
        assertFalse(returned.isDone());
        broker.recordReport(ENTRY, UsageReport.newBuilder().setLastSlot(1_000).build());
        time.advance(Duration.ofMillis(10));
        assertEquals(SlotAnswer.Outcome.CHOSEN, answer(returned).getOutcome());
    }

    /**
     * Load pattern: prompts of very different lengths. Guards against requests that wait although an engine has room
     * for them, behind one of their rank that needs more room than there is. A less urgent one takes no room from that
     * one.
     */
    @Test
    void requestThatFitsDoesNotWaitBehindOneOfItsRankThatDoesNot() throws Exception {
        SlotAttributes heavy = new SlotAttributes("heavy", "h", 7);
        assertEquals(
                SlotAnswer.Outcome.CHOSEN, answer(ask("n", 5, 15_000, 0, heavy)).getOutcome());
        SlotRequest.Builder large = SlotRequest.newBuilder()
                .setZone("a")
                .setService("s")
                .setModel("n")
                .setPromptTokens(99_900)
                .setRank(5)
                .setObjectiveMillis(10_000)
                .setDeadlineMillis(15_000);
        new SlotAttributes("light", "l", 8).addTo(large);
        assertFalse(broker.handle(ENTRY, large.build().toByteString())
                .toCompletableFuture()
                .isDone());
        assertEquals(
                SlotAnswer.Outcome.CHOSEN, answer(ask("n", 5, 15_000, 0, heavy)).getOutcome());
        assertFalse(ask("n", 6, 15_000, 0, heavy).isDone());
    }

    /** Load pattern: a heavy workspace. A light one of equal rank does not wait behind all of its requests. */
    @Test
    void requestOfALightWorkspaceGoesBeforeThoseOfAHeavyOne() throws Exception {
        for (int request = 0; request < 200; request++) {
            ask("n", 5, 9_000, 0, new SlotAttributes("heavy", "h" + request, 7));
        }
        CompletableFuture<ByteString> light = ask("n", 5, 9_000, 0, new SlotAttributes("light", "l", 8));
        assertFalse(light.isDone());
        broker.recordReport(ENTRY, UsageReport.newBuilder().setLastSlot(1_000).build());
        time.advance(Duration.ofMillis(10));
        assertEquals(SlotAnswer.Outcome.CHOSEN, answer(light).getOutcome());
    }

    /** Guards against early refusals: a request whose objective is far waits for as long as it can end in time. */
    @Test
    void requestWithFarObjectiveWaitsBeyondItsShareOfTheObjective() throws Exception {
        for (int request = 0; request < 100; request++) {
            ask("n", 5, 15_000, 0);
        }
        CompletableFuture<ByteString> asked = ask("n", 6, 5_000, 9_000);
        time.advance(SlotBroker.MAX_ANSWER_DELAY.plusMillis(1));
        assertEquals(SlotAnswer.Outcome.AGAIN, answer(asked).getOutcome());
    }

    /** Guards against events of two software versions in one stream: the coordinator chooses the server. */
    @Test
    void streamWithoutServerOfItsVersionIsRefusedAtOnce() throws Exception {
        SlotRequest.Builder request = SlotRequest.newBuilder()
                .setZone("a")
                .setService("s")
                .setModel("n")
                .setPromptTokens(500)
                .setObjectiveMillis(1_200)
                .setDeadlineMillis(5_000);
        assertEquals(SlotAnswer.Outcome.CHOSEN, answer(continued(request, "v1")).getOutcome());
        assertEquals(
                SlotAnswer.Outcome.NO_SERVER, answer(continued(request, "v2")).getOutcome());
    }

    /** Guards against a stream that waits for a model which will be loaded at another version only. */
    @Test
    void streamWhoseModelIsNotLoadedAtItsVersionIsRefusedAtOnce() throws Exception {
        SlotRequest.Builder request = SlotRequest.newBuilder()
                .setZone("a")
                .setService("s")
                .setModel("m")
                .setPromptTokens(500)
                .setObjectiveMillis(1_200)
                .setDeadlineMillis(5_000);
        assertFalse(continued(request, "v1").isDone(), "the only version gets the model");
        assertEquals(1, waiting);
        servers.add(BackendServerFixture.withSoftware(BackendServerFixture.engine("newer", "k"), "v2"));
        assertEquals(
                SlotAnswer.Outcome.NO_MODEL, answer(continued(request, "v1")).getOutcome());
        assertEquals(1, waiting);
        untilArrival = Optional.of(Duration.ofSeconds(2));
        assertFalse(continued(request, "v1").isDone());
        assertEquals(2, waiting);
    }

    private CompletableFuture<ByteString> continued(SlotRequest.Builder request, String softwareVersion) {
        return broker.handle(
                        ENTRY,
                        request.setSoftwareVersion(softwareVersion).build().toByteString())
                .toCompletableFuture();
    }

    /**
     * Load pattern: a hundred entries report at the same time while many requests wait for an engine. The queue is
     * searched once for all of the reports.
     */
    @Test
    void manyReportsCauseOnePassOverTheQueue() {
        for (int request = 0; request < 200; request++) {
            ask("n", 5, 5_000, 0);
        }
        time.advance(Duration.ofMillis(10));
        int before = selections;
        int queued = selectionsOfOneReport(1);
        assertTrue(queued > 0);
        assertEquals(queued, selectionsOfOneReport(100), "selections before: " + before);
    }

    /** Only servers whose load has decreased are searched again, so that the report is preceded by one with load. */
    private int selectionsOfOneReport(int reports) {
        ServerUsage usage = ServerUsage.newBuilder()
                .setName("other")
                .setIncarnation(servers.get(0).incarnation())
                .setRequests(1)
                .build();
        broker.recordReport(
                new VmName("e0"), UsageReport.newBuilder().addServers(usage).build());
        time.advance(Duration.ofMillis(10));
        int before = selections;
        for (int entry = 0; entry < reports; entry++) {
            broker.recordReport(new VmName("e" + entry), UsageReport.getDefaultInstance());
        }
        time.advance(Duration.ofMillis(10));
        return selections - before;
    }

    private CompletableFuture<ByteString> askPlain(int objectiveMillis) {
        return askPlain(objectiveMillis, 4_000);
    }

    private CompletableFuture<ByteString> askPlain(int objectiveMillis, int deadlineMillis) {
        SlotRequest request = SlotRequest.newBuilder()
                .setZone("a")
                .setService("s")
                .setObjectiveMillis(objectiveMillis)
                .setDeadlineMillis(deadlineMillis)
                .build();
        return broker.handle(ENTRY, request.toByteString()).toCompletableFuture();
    }

    private void limit(String server, double limit) {
        BackendServer limited = servers.stream()
                .filter(each -> each.name().value().equals(server))
                .findFirst()
                .orElseThrow();
        pool.statements()
                .recordAnswer(
                        limited, new ServerStatement(OptionalDouble.of(limit), OptionalInt.empty()), time.nowNanos());
    }

    /** Guards against a burst to a server of a plain service that limits its requests, while another one has none. */
    @Test
    void plainRequestsBeyondLimitGoToOtherServers() throws Exception {
        servers.clear();
        servers.add(BackendServerFixture.service("p1", 1));
        servers.add(BackendServerFixture.service("p2", 2));
        limit("p1", 2);
        time.advance(Duration.ofSeconds(1));
        int limited = 0;
        for (int number = 0; number < 40; number++) {
            time.advance(Duration.ofMillis(50));
            SlotAnswer answer = answer(askPlain(300));
            assertEquals(SlotAnswer.Outcome.CHOSEN, answer.getOutcome());
            limited += answer.getServer().equals("p1") ? 1 : 0;
        }
        assertTrue(limited >= 2 && limited <= 6, limited + " requests in two seconds");
    }

    /** Guards against requests that wait although the servers of their service have no room for them in time. */
    @Test
    void requestsWaitForPermitsInTimeAndTheOthersAreRefusedAtOnce() throws Exception {
        servers.clear();
        servers.add(BackendServerFixture.service("p1", 1));
        limit("p1", 5);
        CompletableFuture<ByteString> first = askPlain(300, 450);
        CompletableFuture<ByteString> second = askPlain(300, 450);
        assertFalse(first.isDone());
        SlotAnswer refused = answer(second);
        assertEquals(SlotAnswer.Outcome.CROWDED, refused.getOutcome());
        assertTrue(refused.getComeBackMillis() >= 400, refused.toString());
        time.advance(Duration.ofMillis(210));
        SlotAnswer.Outcome outcome = answer(first).getOutcome();
        assertTrue(outcome == SlotAnswer.Outcome.CHOSEN || outcome == SlotAnswer.Outcome.AGAIN, outcome.toString());
    }

    /**
     * Load pattern: a plain service with few slots. Guards against a long queue at its server, in which requests are
     * served in the order of arrival: the one with the nearest objective goes first.
     */
    @Test
    void serverOfPlainServiceGetsBoundedNumberOfRequests() throws Exception {
        engines = Optional.empty();
        servers.clear();
        servers.add(BackendServerFixture.service("p1", 1));
        int granted = 0;
        for (int number = 0; number < 120; number++) {
            CompletableFuture<ByteString> asked = askPlain(3_000, 4_000);
            granted += asked.isDone() && answer(asked).getOutcome() == SlotAnswer.Outcome.CHOSEN ? 1 : 0;
        }
        assertEquals(64 * 3 / 2, granted);
        CompletableFuture<ByteString> sooner = askPlain(300, 4_000);
        assertFalse(sooner.isDone());
        broker.recordReport(ENTRY, UsageReport.newBuilder().setLastSlot(1).build());
        time.advance(Duration.ofMillis(10));
        assertEquals(SlotAnswer.Outcome.CHOSEN, answer(sooner).getOutcome());
    }

    /** Guards against rejections by a server that ends after too many of them. */
    @Test
    void brittleServerKeepsSlotsToSpare() throws Exception {
        servers.clear();
        servers.add(BackendServerFixture.service("p1", 1));
        pool.statements()
                .recordAnswer(
                        servers.get(0),
                        new ServerStatement(OptionalDouble.empty(), OptionalInt.of(3)),
                        time.nowNanos());
        int granted = 0;
        for (int number = 0; number < 64; number++) {
            CompletableFuture<ByteString> asked = askPlain(300);
            granted += asked.isDone() && answer(asked).getOutcome() == SlotAnswer.Outcome.CHOSEN ? 1 : 0;
        }
        assertEquals(51, granted);
    }

    /** Guards against a model whose only engine limits its requests staying there. */
    @Test
    void requestsThatWaitForPermitsOfEnginesAreDemandForTheModel() {
        servers.clear();
        servers.add(BackendServerFixture.engine("e", "m"));
        limit("e", 2);
        ask("m", 5, 5_000, 0);
        assertEquals(1, waiting);
        time.advance(Duration.ofMillis(600));
        assertEquals(0, waiting);
    }

    private final class Demand implements SlotBroker.Demand {
        @Override
        public void addWaiting(String service, EngineWork work, Optional<String> softwareVersion, int change) {
            waiting += change;
        }

        @Override
        public void recordMissingModel(BackendServerName server, EngineWork work) {
            throw new AssertionError("no request reports an engine without its model");
        }

        @Override
        public Optional<Deadline> availableAt(String service, EngineWork work, Optional<String> softwareVersion) {
            return untilArrival.map(duration -> Deadline.after(time.nowNanos(), duration));
        }
    }
}
