package org.borageproxy.spread;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against VMs that ask control VMs which are gone before those that answer. */
class ControlVmOrderTest {

    private static final List<VmName> CANDIDATES =
            IntStream.range(0, 6).mapToObj(number -> new VmName("c" + number)).toList();

    private long nowNanos;
    private final ControlVmOrder order = new ControlVmOrder(new VmName("e1"), () -> nowNanos);

    @Test
    void watchedVmComesFirstAndFailedOnesLastLongestFailedBefore() {
        List<VmName> initial = order.sort(CANDIDATES);
        assertEquals(Set.copyOf(CANDIDATES), Set.copyOf(initial));
        order.recordAnswer(initial.get(3));
        assertEquals(initial.get(3), order.sort(CANDIDATES).get(0));
        order.recordFailure(initial.get(0));
        nowNanos += 1_000_000;
        order.recordFailure(initial.get(3));
        List<VmName> sorted = order.sort(CANDIDATES);
        assertEquals(initial.get(1), sorted.get(0));
        assertEquals(List.of(initial.get(0), initial.get(3)), sorted.subList(4, 6));
    }

    @Test
    void failedVmIsAskedAgainAfterPauseOrAnswer() {
        VmName vm = CANDIDATES.get(0);
        order.recordFailure(vm);
        assertFalse(order.mayAsk(vm));
        order.recordAnswer(vm);
        assertTrue(order.mayAsk(vm));
        order.recordFailure(vm);
        nowNanos += 250_000_000;
        assertTrue(order.mayAsk(vm));
    }

    @Test
    void watchersOfLostVmDivideAmongOthers() {
        Set<VmName> seconds = new HashSet<>();
        for (int number = 0; number < 80; number++) {
            List<VmName> sorted = new ControlVmOrder(new VmName("10.1.0." + number), () -> 0).sort(CANDIDATES);
            if (sorted.get(0).equals(CANDIDATES.get(0))) {
                seconds.add(sorted.get(1));
            }
        }
        assertTrue(seconds.size() >= 3, seconds.toString());
    }
}
