package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.tree.Workspace;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;

/** A fleet of real {@link FleetQuota}s over a network, clocks and leases in virtual time. Not thread safe. */
final class VirtualFleet {

    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000_000_000L;
    static final double DRIFT = 0.004;
    private static final long LEASE_NANOS = 3 * SECOND;

    final VirtualTime time = new VirtualTime(0);
    final Random random;
    final List<Member> members = new ArrayList<>();
    double lossRate;
    double duplicateRate;
    double lateRate;
    Configuration configuration = Configuration.EMPTY;
    private final Map<Duty, Held> leases = new HashMap<>();
    private int sessions;

    /**
     * A lease as the control group sees it.
     *
     * @param holder the holder
     * @param epoch the fencing number
     * @param expiresAtNanos when it ends in true time
     */
    private record Held(VmName holder, long epoch, long expiresAtNanos) {}

    /** One VM; its process can be replaced. */
    final class Member {
        final VmName name;
        VirtualVm vm;
        FleetQuota quota;
        boolean cutOff;
        private VmNetwork.Handler handler;

        Member(VmName name) {
            this.name = name;
            start();
        }

        void start() {
            double speed = 1 + (random.nextDouble() * 2 - 1) * DRIFT;
            vm = new VirtualVm(name, time, speed, random.nextInt(1_000_000) * SECOND - 500_000 * SECOND);
            quota = FleetQuota.start(new QuotaEnvironment(
                    name,
                    "run-" + sessions++,
                    () -> members.stream()
                            .map(member -> member.name)
                            .filter(other -> !other.equals(name))
                            .toList(),
                    new Network(this, vm),
                    new Leases(this, vm),
                    new Source(),
                    vm::localNanos,
                    vm,
                    EventRecorder.NoOp.INSTANCE,
                    8,
                    true,
                    QuotaSettings.DEFAULT));
        }
    }

    VirtualFleet(long seed, int size, Workspace... workspaces) {
        random = new Random(seed);
        limit(workspaces);
        for (int index = 0; index < size; index++) {
            members.add(new Member(new VmName("vm-" + index)));
        }
    }

    void limit(Workspace... workspaces) {
        Map<String, Workspace> byName = new HashMap<>();
        for (Workspace workspace : workspaces) {
            byName.put(workspace.name(), workspace);
        }
        configuration =
                new Configuration(configuration.revision() + 1, byName, Map.of(), Map.of(), List.of(), Map.of());
    }

    static Workspace workspace(String name, long rate, long burst) {
        return new Workspace(name, rate, burst, 0, Set.of());
    }

    Optional<Member> ownerOf(String workspace) {
        Held held = leases.get(Duty.quotaShard(QuotaShards.shardOf(workspace, 8)));
        return members.stream()
                .filter(member -> held != null && member.name.equals(held.holder()))
                .findFirst();
    }

    private long delayNanos() {
        boolean late = random.nextDouble() < lateRate;
        return late ? random.nextInt(3_000) * MILLI : MILLI / 5 + random.nextInt(1_000) * 1_000L;
    }

    private void deliver(Member from, Member to, Runnable action) {
        int copies = random.nextDouble() < duplicateRate ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (from.cutOff || to.cutOff || random.nextDouble() < lossRate) {
                continue;
            }
            time.afterNanos(delayNanos(), action);
        }
    }

    /** Messages of one run of a process. */
    private final class Network implements VmNetwork {
        private final Member self;
        private final VirtualVm vm;

        Network(Member self, VirtualVm vm) {
            this.self = self;
            this.vm = vm;
        }

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            request(recipient, kind, body, new Deadline(vm.localNanos()));
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            Member to = members.stream()
                    .filter(member -> member.name.equals(recipient))
                    .findFirst()
                    .orElseThrow();
            deliver(
                    self,
                    to,
                    () -> to.vm.run(() -> to.handler
                            .handle(self.name, body)
                            .thenAccept(reply -> deliver(to, self, () -> vm.run(() -> answer.complete(reply))))));
            vm.schedule(
                    (Runnable) () -> answer.completeExceptionally(new UnreachableException("no answer")),
                    deadline.remainingNanos(vm.localNanos()),
                    TimeUnit.NANOSECONDS);
            return answer;
        }

        @Override
        public void handle(MessageKind kind, Handler handler) {
            self.handler = handler;
        }
    }

    /** Leases as one run of a process sees them. */
    private final class Leases implements LeaseStore {
        private final Member self;
        private final VirtualVm vm;
        private final Map<Duty, Lease> seen = new HashMap<>();

        Leases(Member self, VirtualVm vm) {
            this.self = self;
            this.vm = vm;
        }

        @Override
        public CompletionStage<Optional<Lease>> acquire(Duty duty) {
            CompletableFuture<Optional<Lease>> answer = new CompletableFuture<>();
            long askedAtNanos = vm.localNanos();
            time.afterNanos(delayNanos(), () -> {
                if (self.cutOff || vm.isDead()) {
                    return;
                }
                Optional<Lease> lease = grant(duty, askedAtNanos);
                time.afterNanos(delayNanos(), () -> vm.run(() -> answer.complete(lease)));
            });
            return answer;
        }

        private Optional<Lease> grant(Duty duty, long askedAtNanos) {
            Held held = leases.get(duty);
            boolean free = held == null || time.nowNanos() >= held.expiresAtNanos();
            if (!free && !held.holder().equals(self.name)) {
                return Optional.empty();
            }
            boolean same = held != null && held.holder().equals(self.name);
            long epoch = held == null ? 1 : same ? held.epoch() : held.epoch() + 1;
            leases.put(duty, new Held(self.name, epoch, time.nowNanos() + LEASE_NANOS + LEASE_NANOS / 50));
            return Optional.of(new Lease(duty, self.name, epoch, new Deadline(askedAtNanos + LEASE_NANOS)));
        }

        @Override
        public CompletionStage<Void> release(Lease lease) {
            time.afterNanos(delayNanos(), () -> {
                Held held = leases.get(lease.duty());
                if (held != null
                        && held.epoch() == lease.epoch()
                        && held.holder().equals(lease.holder())) {
                    leases.put(lease.duty(), new Held(held.holder(), held.epoch(), time.nowNanos()));
                }
            });
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public Optional<Lease> lastKnownLease(Duty duty) {
            Held held = leases.get(duty);
            if (held != null && !self.cutOff) {
                long remainingNanos = held.expiresAtNanos() - time.nowNanos();
                Deadline expiresAt = new Deadline(vm.localNanos() + remainingNanos);
                seen.put(duty, new Lease(duty, held.holder(), held.epoch(), expiresAt));
            }
            return Optional.ofNullable(seen.get(duty));
        }
    }

    /** The configuration, the same on all VMs at once. */
    private final class Source implements ConfigurationSource {
        @Override
        public Configuration current() {
            return configuration;
        }

        @Override
        public boolean isFresh(long nowNanos) {
            return true;
        }

        @Override
        public void subscribe(Consumer<Configuration> listener) {
            // The tests read the configuration anew each time.
        }
    }
}
