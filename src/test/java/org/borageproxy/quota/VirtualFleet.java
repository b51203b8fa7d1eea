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

/** {@link FleetQuota} on several VMs, with network, clocks and leases simulated in virtual time. Not thread safe. */
final class VirtualFleet {

    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000_000_000L;
    static final double MAX_CLOCK_DRIFT = 0.004;
    private static final long LEASE_NANOS = 3 * SECOND;

    final VirtualTime time = new VirtualTime(0);
    final Random random;
    final List<Member> members = new ArrayList<>();
    double lossRate;
    double duplicateRate;
    double delayedRate;
    Configuration configuration = Configuration.EMPTY;
    private final Map<Duty, LeaseRecord> leases = new HashMap<>();
    private int sessions;

    /**
     * A lease as stored by the control group.
     *
     * @param holder the holder
     * @param epoch the fencing number
     * @param expiresAtNanos when it expires, in virtual time
     */
    private record LeaseRecord(VmName holder, long epoch, long expiresAtNanos) {}

    /** A VM whose process can be restarted. */
    final class Member {
        final VmName name;
        VirtualVm vm;
        FleetQuota quota;
        boolean isPartitioned;
        private VmNetwork.Handler handler;

        Member(VmName name) {
            this.name = name;
            start();
        }

        void start() {
            double speed = 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;
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
        publish(workspaces);
        for (int index = 0; index < size; index++) {
            members.add(new Member(new VmName("vm-" + index)));
        }
    }

    void publish(Workspace... workspaces) {
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
        LeaseRecord lease = leases.get(Duty.quotaShard(QuotaShards.shardOf(workspace, 8)));
        return members.stream()
                .filter(member -> lease != null && member.name.equals(lease.holder()))
                .findFirst();
    }

    private long delayNanos() {
        boolean isDelayed = random.nextDouble() < delayedRate;
        return isDelayed ? random.nextInt(3_000) * MILLI : MILLI / 5 + random.nextInt(1_000) * 1_000L;
    }

    private void deliver(Member from, Member to, Runnable action) {
        int copies = random.nextDouble() < duplicateRate ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (from.isPartitioned || to.isPartitioned || random.nextDouble() < lossRate) {
                continue;
            }
            time.scheduleAfterNanos(delayNanos(), action);
        }
    }

    /** The network as seen by one run of a process. */
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
        public void registerHandler(MessageKind kind, Handler handler) {
            self.handler = handler;
        }
    }

    /** The lease store as seen by one run of a process. */
    private final class Leases implements LeaseStore {
        private final Member self;
        private final VirtualVm vm;
        private final Map<Duty, Lease> cached = new HashMap<>();

        Leases(Member self, VirtualVm vm) {
            this.self = self;
            this.vm = vm;
        }

        @Override
        public CompletionStage<Optional<Lease>> acquire(Duty duty) {
            CompletableFuture<Optional<Lease>> answer = new CompletableFuture<>();
            long askedAtNanos = vm.localNanos();
            time.scheduleAfterNanos(delayNanos(), () -> {
                if (self.isPartitioned || vm.isDead()) {
                    return;
                }
                Optional<Lease> lease = grant(duty, askedAtNanos);
                time.scheduleAfterNanos(delayNanos(), () -> vm.run(() -> answer.complete(lease)));
            });
            return answer;
        }

        private Optional<Lease> grant(Duty duty, long askedAtNanos) {
            LeaseRecord current = leases.get(duty);
            boolean isFree = current == null || time.nowNanos() >= current.expiresAtNanos();
            if (!isFree && !current.holder().equals(self.name)) {
                return Optional.empty();
            }
            boolean isRenewal = current != null && current.holder().equals(self.name);
            long epoch = current == null ? 1 : isRenewal ? current.epoch() : current.epoch() + 1;
            leases.put(duty, new LeaseRecord(self.name, epoch, time.nowNanos() + LEASE_NANOS + LEASE_NANOS / 50));
            return Optional.of(new Lease(duty, self.name, epoch, new Deadline(askedAtNanos + LEASE_NANOS)));
        }

        @Override
        public CompletionStage<Void> release(Lease lease) {
            time.scheduleAfterNanos(delayNanos(), () -> {
                LeaseRecord current = leases.get(lease.duty());
                if (current != null
                        && current.epoch() == lease.epoch()
                        && current.holder().equals(lease.holder())) {
                    leases.put(lease.duty(), new LeaseRecord(current.holder(), current.epoch(), time.nowNanos()));
                }
            });
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public Optional<Lease> lastKnownLease(Duty duty) {
            LeaseRecord current = leases.get(duty);
            if (current != null && !self.isPartitioned) {
                long remainingNanos = current.expiresAtNanos() - time.nowNanos();
                Deadline expiresAt = new Deadline(vm.localNanos() + remainingNanos);
                cached.put(duty, new Lease(duty, current.holder(), current.epoch(), expiresAt));
            }
            return Optional.ofNullable(cached.get(duty));
        }
    }

    /** The configuration, which changes on all VMs at the same time. */
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
            // FleetQuota reads the current configuration on each use and does not subscribe.
        }
    }
}
