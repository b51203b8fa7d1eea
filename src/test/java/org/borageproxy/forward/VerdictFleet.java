package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.vertx.core.Future;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlGroupCrashRegistry;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.FleetFake;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.quarantine.CrashReports;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.spread.ControlStateWatcher;
import org.borageproxy.spread.WatchService;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RegisterVm;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;

/**
 * Three control VMs, entries and servers in virtual time and without a network: what entries know of crashes and what
 * they send, with the product's own decisions on both sides. A server that crashes is back after some seconds under
 * another name. Not thread safe.
 */
final class VerdictFleet {

    private static final String SERVICE = "service";
    private static final long RUN_MILLIS = 85;
    private static final long DOWN_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 2;

    /** The outcome of a request. */
    enum Outcome {
        PENDING,
        SERVED,
        REFUSED,
        LOST
    }

    /** A server; its name changes with each start. */
    private static final class Server {
        private BackendServer identity;
        private boolean isDown;
        private final Set<Request> running = new HashSet<>();
    }

    /** One request, from its arrival at an entry. */
    final class Request {
        private final CrashEvidence evidence;
        private final boolean isCrashing;
        private final long sentAtMillis = nowMillis();
        private int attempts;
        private Outcome outcome = Outcome.PENDING;

        private Request(Entry entry, CrashSuspects suspects, boolean isCrashing) {
            this.isCrashing = isCrashing;
            this.evidence = new CrashEvidence(entry.reports, suspects, fleet::nanoTime);
        }

        long sentAtMillis() {
            return sentAtMillis;
        }

        boolean isServed() {
            return outcome == Outcome.SERVED;
        }

        boolean isRefused() {
            return outcome == Outcome.REFUSED;
        }

        private void end(Outcome result) {
            outcome = result;
            evidence.recordEnd();
        }
    }

    /** An entry, with what it has learned since its start. */
    final class Entry {
        private final String name;
        private final ControlStateWatcher watcher;
        private final CrashReports reports;

        private Entry(String name) {
            this.name = name;
            this.watcher = watcher(name, false);
            this.reports = new CrashReports(new CrashReports.Environment(
                    new ControlGroupCrashRegistry(fleet.client(name), fingerprint -> watcher.suspicions()
                            .of(fingerprint)),
                    fingerprint -> watcher.suspicions().versionOf(fingerprint),
                    server -> Future.succeededFuture(true),
                    server -> false,
                    fleet::nanoTime,
                    fleet.timer(),
                    random));
            watcher.subscribeSuspectParts(reports::vouch);
            watcher.start();
        }
    }

    final FleetFake fleet = new FleetFake();
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Long> crashingSends = new ArrayList<>();
    private final List<Long> crashes = new ArrayList<>();
    private final List<ControlStateWatcher> controlWatchers = new ArrayList<>();
    private int startedServers;

    /** Starts a fleet whose control VMs run this build. */
    VerdictFleet(int entryCount, int serverCount, long seed) {
        this(entryCount, serverCount, seed, true);
    }

    /** Starts a fleet; the records of its control VMs are those of an earlier build unless they run this one. */
    VerdictFleet(int entryCount, int serverCount, long seed, boolean isThisBuild) {
        this.random = new Random(seed);
        for (VmName vm : fleet.controlVms()) {
            VmNetwork network = fleet.network(vm.value());
            ControlClient client = fleet.client(vm.value());
            network.registerHandler(
                    MessageKind.CONTROL_COMMAND,
                    new ControlService(fleet.log(vm.value()), fleet.state(vm.value()), fleet::nanoTime));
            network.registerHandler(
                    MessageKind.STATE_WATCH,
                    new WatchService(
                            fleet.log(vm.value()), fleet.state(vm.value()), client, fleet::nanoTime, fleet.timer()));
            VmRecord earlier = VmRecord.newBuilder()
                    .setName(vm.value())
                    .setZone("a")
                    .setHost("127.0.0.1")
                    .setPort(4000)
                    .setControl(true)
                    .build();
            fleet.await(client.submit(
                    Command.newBuilder().setRegisterVm(RegisterVm.newBuilder().setVm(earlier)),
                    client.deadlineAfter(Duration.ofSeconds(5))));
        }
        for (int number = 0; number < entryCount; number++) {
            entries.add(new Entry("e" + number));
        }
        for (int number = 0; number < serverCount; number++) {
            Server server = new Server();
            start(server);
            servers.add(server);
        }
        if (isThisBuild) {
            upgradeControlVms();
        }
        run(1_000);
    }

    private ControlStateWatcher watcher(String name, boolean isControl) {
        return new ControlStateWatcher(
                new VmAddress(new VmName(name), new AvailabilityZone("a"), "127.0.0.1", 4000),
                isControl,
                fleet.network(name),
                fleet::controlVms,
                fleet::nanoTime,
                fleet.timer(),
                EventRecorder.NoOp.INSTANCE);
    }

    /** Lets the control VMs register as VMs of this build do. */
    void upgradeControlVms() {
        for (VmName vm : fleet.controlVms()) {
            ControlStateWatcher watcher = watcher(vm.value(), true);
            controlWatchers.add(watcher);
            watcher.start();
        }
        run(500);
    }

    long nowMillis() {
        return fleet.nanoTime() / 1_000_000L;
    }

    void run(long millis) {
        fleet.run(Duration.ofMillis(millis));
    }

    Entry entry(int number) {
        return entries.get(number);
    }

    /** Replaces an entry by one without memory. */
    void restart(int number) {
        Entry earlier = entries.get(number);
        earlier.watcher.stop();
        entries.set(number, new Entry(earlier.name));
    }

    /** Replaces all entries, and lets the control VMs read their state from its snapshot. */
    void restartAll() {
        for (int number = 0; number < entries.size(); number++) {
            restart(number);
        }
        for (VmName vm : fleet.controlVms()) {
            fleet.state(vm.value()).restore(fleet.state(vm.value()).snapshot());
        }
        run(500);
    }

    /** Returns the suspects of a request without a prompt, which is equal to others with this name. */
    static CrashSuspects lookup(String name) {
        return CrashSuspects.of(RequestDigest.fingerprint("w", "/" + name, new byte[0]), SERVICE, List.of());
    }

    /** Returns the suspects of a request that no other is equal to but for the parts of its prompt. */
    CrashSuspects prompt(String... parts) {
        String own = "own" + random.nextLong();
        return CrashSuspects.of(
                RequestDigest.fingerprint("w", "/" + own, new byte[0]),
                SERVICE,
                Stream.concat(Stream.of(parts), Stream.of(own))
                        .map(part -> new EngineWork.PromptPart(part, 1))
                        .toList());
    }

    /** Sends a request that harms no server. */
    Request sendSound(int entry, CrashSuspects suspects) {
        return send(entry, suspects, false);
    }

    /** Sends a request that crashes each server that runs it. */
    Request sendCrashing(int entry, CrashSuspects suspects) {
        return send(entry, suspects, true);
    }

    private Request send(int entry, CrashSuspects suspects, boolean isCrashing) {
        Request request = new Request(entries.get(entry), suspects, isCrashing);
        request.evidence.decide(() -> attempt(request), () -> request.end(Outcome.REFUSED));
        return request;
    }

    private void attempt(Request request) {
        List<Server> up = servers.stream().filter(server -> !server.isDown).toList();
        if (up.isEmpty()) {
            request.end(Outcome.LOST);
            return;
        }
        Server server = up.get(random.nextInt(up.size()));
        request.attempts++;
        request.evidence.recordAttempt();
        server.running.add(request);
        if (request.isCrashing) {
            crashingSends.add(nowMillis());
        }
        fleet.timer().schedule(Duration.ofMillis(RUN_MILLIS), () -> endRun(server, request));
    }

    private void endRun(Server server, Request request) {
        if (!server.running.contains(request)) {
            return;
        }
        if (request.isCrashing) {
            crashes.add(nowMillis());
            crash(server);
        } else {
            server.running.remove(request);
            request.evidence.recordSuccess();
            request.end(Outcome.SERVED);
        }
    }

    /** Ends servers at one moment for a reason that lies in no request: those that run the most requests. */
    void crashBusiest(int count) {
        servers.stream()
                .filter(server -> !server.isDown)
                .sorted((one, other) -> Integer.compare(other.running.size(), one.running.size()))
                .limit(count)
                .toList()
                .forEach(this::crash);
    }

    private void crash(Server server) {
        List<Request> lost = List.copyOf(server.running);
        BackendServer ended = server.identity;
        server.running.clear();
        server.isDown = true;
        fleet.timer().schedule(Duration.ofMillis(DOWN_MILLIS), () -> start(server));
        for (Request request : lost) {
            request.evidence.recordConnectionLoss(ended);
            if (request.attempts < MAX_ATTEMPTS && !request.evidence.isQuarantined()) {
                attempt(request);
            } else {
                request.end(Outcome.LOST);
            }
        }
    }

    private void start(Server server) {
        startedServers++;
        server.identity = BackendServerFixture.engine("server" + startedServers, "m");
        server.isDown = false;
    }

    /** Repeats a task, from now until a time has passed. */
    void repeat(long periodMillis, long forMillis, Consumer<Integer> task) {
        long endAtMillis = nowMillis() + forMillis;
        repeatUntil(endAtMillis, periodMillis, task, 0);
    }

    private void repeatUntil(long endAtMillis, long periodMillis, Consumer<Integer> task, int count) {
        if (nowMillis() < endAtMillis) {
            task.accept(count);
            fleet.timer()
                    .schedule(
                            Duration.ofMillis(periodMillis),
                            () -> repeatUntil(endAtMillis, periodMillis, task, count + 1));
        }
    }

    /** Returns the number of crashes that crashing requests have caused. */
    int crashCount() {
        return crashes.size();
    }

    /** Returns the number of crashing requests that were sent later than a time after one of their crashes. */
    long sendsAfterCrash(int crashNumber, long millis) {
        if (crashes.size() < crashNumber) {
            return 0;
        }
        long boundMillis = crashes.get(crashNumber - 1) + millis;
        return crashingSends.stream().filter(sentAt -> sentAt > boundMillis).count();
    }
}
