package org.borageproxy.server;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests of {@link FreshConfigurationLeaseStore}. */
class FreshConfigurationLeaseStoreTest {

    private static final Lease LEASE = new Lease(Duty.PLACEMENT, new VmName("vm-1"), 1, new Deadline(1));

    /** A lease store that grants every lease. */
    private enum GrantingLeaseStore implements LeaseStore {
        INSTANCE;

        @Override
        public CompletionStage<Optional<Lease>> acquire(Duty duty) {
            return CompletableFuture.completedFuture(Optional.of(LEASE));
        }

        @Override
        public CompletionStage<Void> release(Lease lease) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public Optional<Lease> lastKnownLease(Duty duty) {
            return Optional.of(LEASE);
        }
    }

    private record FixedConfiguration(Configuration current, boolean isFresh) implements ConfigurationSource {

        @Override
        public boolean isFresh(long nowNanos) {
            return isFresh;
        }

        @Override
        public void subscribe(Consumer<Configuration> listener) {
            listener.accept(current);
        }
    }

    private static boolean acquires(long revision, boolean isFresh) {
        Configuration configuration = new Configuration(revision, Map.of(), Map.of(), Map.of(), List.of(), Map.of());
        LeaseStore leases = new FreshConfigurationLeaseStore(
                GrantingLeaseStore.INSTANCE, new FixedConfiguration(configuration, isFresh), () -> 0);
        return leases.acquire(Duty.PLACEMENT).toCompletableFuture().join().isPresent();
    }

    @Test
    void dutyLeaseRequiresLoadedAndFreshConfiguration() {
        assertEquals(
                List.of(false, false, false, true),
                List.of(acquires(0, true), acquires(0, false), acquires(5, false), acquires(5, true)));
    }
}
