package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against operators that wait for a frozen leader after another one is elected, with real VMs. Operators give up
 * after one second.
 */
class FrozenLeaderTest {

    private static final int OK = 200;
    private static final Duration OPERATOR_LIMIT = Duration.ofSeconds(1);

    @TempDir
    private Path folder;

    @Test
    void publicationAfterElectionIsAcknowledgedWithinOperatorsLimitByEachControlVm() throws Exception {
        try (PlatformFleet fleet = new PlatformFleet(folder, 0, 3)) {
            String frozen = awaitLeader(fleet, fleet.controls(), 0);
            List<String> others =
                    fleet.controls().stream().filter(vm -> !vm.equals(frozen)).toList();
            int electionsBefore = elections(fleet, others);
            fleet.freeze(frozen);
            String elected = awaitLeader(fleet, others, electionsBefore);
            int version = 2;
            for (String vm : others) {
                long startedAt = System.nanoTime();
                assertEquals(OK, fleet.publish(vm, version), vm);
                long tookMillis =
                        Duration.ofNanos(System.nanoTime() - startedAt).toMillis();
                System.out.println("publication through " + vm + " after " + tookMillis + " ms, " + elected + " leads");
                assertTrue(
                        tookMillis < OPERATOR_LIMIT.toMillis(),
                        vm + " took " + tookMillis + " ms, " + elected + " leads");
                version++;
            }
        }
    }

    /** Waits until one of these VMs has been elected after a number of elections, and returns it. */
    private static String awaitLeader(PlatformFleet fleet, List<String> vms, int electionsBefore) throws Exception {
        long end = System.nanoTime() + PlatformFleet.STEP_TIMEOUT.toNanos();
        while (System.nanoTime() - end < 0) {
            if (elections(fleet, vms) > electionsBefore) {
                Optional<String> last = Optional.empty();
                String lastLine = "";
                for (String vm : vms) {
                    for (String line : fleet.logLines(vm, "event=log-role-changed")) {
                        if (line.contains("role=LEADER") && line.compareTo(lastLine) > 0) {
                            lastLine = line;
                            last = Optional.of(vm);
                        }
                    }
                }
                return last.orElseThrow();
            }
            Thread.sleep(5);
        }
        throw new AssertionError("No leader was elected among " + vms);
    }

    private static int elections(PlatformFleet fleet, List<String> vms) throws IOException {
        int count = 0;
        for (String vm : vms) {
            count += (int) fleet.logLines(vm, "event=log-role-changed").stream()
                    .filter(line -> line.contains("role=LEADER"))
                    .count();
        }
        return count;
    }
}
