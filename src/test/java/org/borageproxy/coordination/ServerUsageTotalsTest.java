package org.borageproxy.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ServerUsageTotalsTest {

    private final ServerUsageTotals totals = new ServerUsageTotals();

    private static ServerUsage usage(String server, long incarnation, int requests) {
        return ServerUsage.newBuilder()
                .setName(server)
                .setIncarnation(incarnation)
                .setRequests(requests)
                .setPromptTokens(10 * requests)
                .setHeldTokens(100 * requests)
                .build();
    }

    @Test
    void onlyLatestIncarnationOfAServerCounts() {
        totals.add(List.of(usage("s", 1, 5), usage("s", 2, 1)));
        totals.add(List.of(usage("s", 2, 3)));
        assertEquals(List.of(usage("s", 2, 4)), totals.latest());
        totals.remove(List.of(usage("s", 2, 3), usage("s", 2, 1)));
        assertEquals(List.of(usage("s", 1, 5)), totals.latest());
    }

    /** Load pattern: a hundred entries replace their reports of some servers again and again. */
    @Property(tries = 50)
    void totalsEqualTheSumsOfTheReportsInForce(@ForAll long seed) {
        Random random = new Random(seed);
        ServerUsageTotals running = new ServerUsageTotals();
        List<List<ServerUsage>> reports = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            List<ServerUsage> report = new ArrayList<>();
            random.ints(random.nextInt(6), 0, 20)
                    .forEach(server -> report.add(usage("s" + server, 1, 1 + random.nextInt(4))));
            if (reports.size() == 100) {
                running.remove(reports.remove(random.nextInt(100)));
            }
            reports.add(report);
            running.add(report);
        }
        Map<String, Integer> expected = new TreeMap<>();
        reports.forEach(
                report -> report.forEach(each -> expected.merge(each.getName(), each.getRequests(), Integer::sum)));
        List<ServerUsage> latest = new ArrayList<>(running.latest());
        latest.sort(Comparator.comparing(ServerUsage::getName));
        assertEquals(
                expected.entrySet().stream()
                        .map(entry -> usage(entry.getKey(), 1, entry.getValue()))
                        .toList(),
                latest);
    }
}
