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

/** The quotas of the entry VMs without faults, over a network with a fixed delay in virtual time. Not thread safe. */
final class VirtualVms {

    /** The delay of a message in nanoseconds. */
    private static final long DELAY_NANOS = 1_000_000L;

    /** The length of a lease. */
    private static final Duration LEASE = Duration.ofSeconds(3);

    /** The virtual time. */
    private final VirtualTime time;

    /** The handlers by VM. */
    private final Map<VmName, VmNetwork.Handler> handlers = new HashMap<>();

    /** The holders of the duties. */
    private final Map<Duty, VmName> holders = new HashMap<>();

    /** The quotas by VM. */
    private final List<TokenQuota> quotas = new ArrayList<>();

    /**
     * Starts the quotas.
     *
     * @param size the number of VMs
     * @param configuration the workspaces
     * @param time the virtual time
     */
    VirtualVms(int size, Configuration configuration, VirtualTime time) {
        this.time = time;
        VirtualTimers timers = new VirtualTimers(time);
        for (int index = 0; index < size; index++) {
            VmName name = new VmName("vm-" + index);
            QuotaEnvironment environment = new QuotaEnvironment(
                    name,
                    "run-" + index,
                    List::of,
                    new Network(name),
                    new Leases(name),
                    new Source(configuration),
                    time::nowNanos,
                    timers,
                    EventRecorder.NoOp.INSTANCE,
                    8,
                    true,
                    QuotaSettings.DEFAULT);
            quotas.add(FleetQuota.start(environment));
        }
    }

    /**
     * Returns the quota of a VM.
     *
     * @param index the VM's number
     * @return the quota
     */
    TokenQuota quota(int index) {
        return quotas.get(index);
    }

    /** The messages of one VM. */
    private final class Network implements VmNetwork {

        /** The VM. */
        private final VmName self;

        /**
         * Creates a network.
         *
         * @param self the VM
         */
        Network(VmName self) {
            this.self = self;
        }

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            time.after(DELAY_NANOS, () -> handlers.get(recipient).handle(self, body));
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            time.after(
                    DELAY_NANOS,
                    () -> handlers.get(recipient).handle(self, body).thenAccept(reply -> {
                        time.after(DELAY_NANOS, () -> answer.complete(reply));
                    }));
            return answer;
        }

        @Override
        public void handle(MessageKind kind, Handler handler) {
            handlers.put(self, handler);
        }
    }

    /** Leases that their first holder keeps. */
    private final class Leases implements LeaseStore {

        /** The VM. */
        private final VmName self;

        /**
         * Creates a view of the leases.
         *
         * @param self the VM
         */
        Leases(VmName self) {
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
                    .map(holder -> new Lease(duty, holder, 1, Deadline.after(time.nowNanos(), LEASE)));
        }
    }

    /**
     * A configuration that does not change.
     *
     * @param current the configuration
     */
    private record Source(Configuration current) implements ConfigurationSource {

        @Override
        public boolean isFresh(long nowNanos) {
            return true;
        }

        @Override
        public void subscribe(Consumer<Configuration> listener) {
            // It never changes.
        }
    }
}
