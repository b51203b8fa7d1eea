package org.borageproxy.spread;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;

/**
 * The order in which a VM asks control VMs: the one that it watches, then those that have not failed since they last
 * answered, then the others, the longest failed first. VMs order those without a failure differently, so that the
 * watchers of a lost control VM divide among the others. Thread safe.
 */
final class ControlVmOrder {

    /** Time after a failure for which a control VM is not asked again. */
    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(250);

    private final VmName self;
    private final MonotonicClock clock;

    /** Times of the latest failures without an answer since; guarded by this. */
    private final Map<VmName, Long> failedAtNanos = new HashMap<>();

    /** The control VM that is watched; guarded by this. */
    private Optional<VmName> watched = Optional.empty();

    ControlVmOrder(VmName self, MonotonicClock clock) {
        this.self = self;
        this.clock = clock;
    }

    /** Returns all candidates in order, and forgets the failures of other VMs. */
    synchronized List<VmName> sort(List<VmName> candidates) {
        failedAtNanos.keySet().retainAll(candidates);
        long nowNanos = clock.nanoTime();
        return candidates.stream()
                .distinct()
                .sorted(Comparator.comparing((VmName vm) -> !watched.equals(Optional.of(vm)))
                        .thenComparing(failedAtNanos::containsKey)
                        .thenComparing(
                                vm -> nowNanos - failedAtNanos.getOrDefault(vm, nowNanos),
                                (one, two) -> Long.compare(two, one))
                        .thenComparing(this::weight))
                .toList();
    }

    /** Returns whether a control VM has not failed a moment ago. */
    synchronized boolean mayAsk(VmName vm) {
        Long failedAt = failedAtNanos.get(vm);
        return failedAt == null || Deadline.after(failedAt, PAUSE_AFTER_FAILURE).hasPassed(clock.nanoTime());
    }

    /** Records an answer with a confirmed state; the VM is watched unless another one is. */
    synchronized void recordAnswer(VmName vm) {
        failedAtNanos.remove(vm);
        watched = watched.or(() -> Optional.of(vm));
    }

    /** Records that a control VM did not answer, or not with a confirmed state. */
    synchronized void recordFailure(VmName vm) {
        failedAtNanos.put(vm, clock.nanoTime());
        watched = watched.filter(current -> !current.equals(vm));
    }

    /** Returns a number that differs between VMs for the same candidate. */
    private int weight(VmName candidate) {
        int mixed = self.value().hashCode() * 31 + candidate.value().hashCode();
        mixed = (mixed ^ (mixed >>> 16)) * 0x85EBCA6B;
        mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
        return mixed ^ (mixed >>> 16);
    }
}
