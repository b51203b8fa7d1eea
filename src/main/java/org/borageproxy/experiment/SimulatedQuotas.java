package org.borageproxy.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.quota.FleetQuota;
import org.borageproxy.quota.QuotaEnvironment;
import org.borageproxy.quota.QuotaSettings;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;

/**
 * The production quotas of all entry VMs without faults, connected by a network with a fixed delay in virtual time. Not
 * thread safe.
 */
final class SimulatedQuotas {

    private static final long MESSAGE_DELAY_NANOS = 1_000_000L;

    private static final Duration LEASE_DURATION = Duration.ofSeconds(3);

    private final VirtualTime time;

    private final Map<VmName, VmNetwork.Handler> handlers = new HashMap<>();

    /** The first VM that acquires a duty holds it permanently. */
    private final Map<Duty, VmName> holders = new HashMap<>();

    private final List<TokenQuota> quotas = new ArrayList<>();

    /**
     * Starts the quotas.
     *
     * @param size the number of VMs
     */
    SimulatedQuotas(int size, Configuration configuration, VirtualTime time) {
        this.time = time;
        VirtualTimeExecutor timers = new VirtualTimeExecutor(time);
        for (int index = 0; index < size; index++) {
            VmName name = new VmName("vm-" + index);
            QuotaEnvironment environment = new QuotaEnvironment(
                    name,
                    "run-" + index,
                    List::of,
                    new SimulatedNetwork(name),
                    new PermanentLeases(name),
                    new FixedConfiguration(configuration),
                    time::nowNanos,
                    timers,
                    EventRecorder.NoOp.INSTANCE,
                    8,
                    true,
                    QuotaSettings.DEFAULT);
            quotas.add(FleetQuota.start(environment));
        }
    }

    /** Returns the quota of the VM with an index from zero. */
    TokenQuota quota(int index) {
        return quotas.get(index);
    }

    /** The network endpoint of one VM; messages are delayed and never lost. */
    private final class SimulatedNetwork implements VmNetwork {

        private final VmName self;

        SimulatedNetwork(VmName self) {
            this.self = self;
        }

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            time.schedule(MESSAGE_DELAY_NANOS, () -> handlers.get(recipient).handle(self, body));
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            time.schedule(
                    MESSAGE_DELAY_NANOS,
                    () -> handlers.get(recipient).handle(self, body).thenAccept(reply -> {
                        time.schedule(MESSAGE_DELAY_NANOS, () -> answer.complete(reply));
                    }));
            return answer;
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            handlers.put(self, handler);
        }
    }

    /** The leases as acquired by one VM; they never change hands. */
    private final class PermanentLeases implements LeaseStore {

        private final VmName self;

        PermanentLeases(VmName self) {
            this.self = self;
        }

        @Override
        public CompletionStage<Optional<Lease>> acquire(Duty duty) {
            holders.putIfAbsent(duty, self);
            return CompletableFuture.completedFuture(
                    lastKnownLease(duty).filter(lease -> lease.holder().equals(self)));
        }

        @Override
        public CompletionStage<Void> release(Lease lease) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public Optional<Lease> lastKnownLease(Duty duty) {
            return Optional.ofNullable(holders.get(duty))
                    .map(holder -> new Lease(duty, holder, 1, Deadline.after(time.nowNanos(), LEASE_DURATION)));
        }
    }

    /**
     * A configuration that never changes.
     *
     * @param current the configuration
     */
    private record FixedConfiguration(Configuration current) implements ConfigurationSource {

        @Override
        public boolean isFresh(long nowNanos) {
            return true;
        }

        @Override
        public void subscribe(Consumer<Configuration> listener) {
            // The configuration never changes.
        }
    }
}
