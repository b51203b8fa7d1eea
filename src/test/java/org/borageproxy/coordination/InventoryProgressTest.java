package org.borageproxy.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerContent;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against entries that never learn what the servers hold, since the whole of it is more than fits in time. */
class InventoryProgressTest {

    private static final int SERVERS = 1_500;

    private final Map<String, ModelInventory> inventories = new HashMap<>();
    private final Map<String, ServerContent> received = new HashMap<>();

    InventoryProgressTest() {
        for (int number = 0; number < SERVERS; number++) {
            Map<String, Set<String>> models = new HashMap<>();
            for (int model = 0; model < 3; model++) {
                models.put("model-" + (number * 3 + model), Set.of("adapter-" + number, "adapter-" + (number + 1)));
            }
            inventories.put("server-" + number, new ModelInventory(1, 1, models, Set.of()));
        }
    }

    private CoordinationUpdate answer(InventoryProgress progress, long version, boolean acceptsPartial) {
        UsageReport.Builder report = UsageReport.newBuilder();
        progress.addTo(report);
        report.setAcceptsPartialContents(acceptsPartial);
        CoordinationUpdate.Builder update = CoordinationUpdate.newBuilder().setContentsVersion(version);
        if (progress.version() != version) {
            InventoryProgress.addContents(report.build(), inventories, update);
        }
        update.getContentsList().forEach(content -> received.put(content.getName(), content));
        return update.build();
    }

    @Test
    void inventoryOfLargeFleetArrivesInBoundedAnswers() {
        InventoryProgress progress = InventoryProgress.NONE;
        int answers = 0;
        while (progress.version() != 7) {
            CoordinationUpdate update = answer(progress, 7, true);
            assertTrue(update.getSerializedSize() < 20_000, update.getSerializedSize() + " bytes");
            progress = progress.advance(update);
            answers++;
            assertTrue(answers < 100);
        }
        assertFalse(progress.isPartial());
        assertEquals(SERVERS, received.size());
    }

    @Test
    void changeOnTheWayLeadsToAnotherPass() {
        InventoryProgress progress = InventoryProgress.NONE.advance(answer(InventoryProgress.NONE, 7, true));
        assertTrue(progress.isPartial());
        inventories.put("server-0", new ModelInventory(1, 2, Map.of(), Set.of()));
        for (int answers = 0; answers < 100 && progress.version() != 8; answers++) {
            progress = progress.advance(answer(progress, 8, true));
        }
        assertEquals(8, progress.version());
        assertEquals(2, received.get("server-0").getOrders());
    }

    @Test
    void entriesOfAnEarlierBuildGetTheWholeInventory() {
        CoordinationUpdate update = answer(InventoryProgress.NONE, 7, false);
        assertEquals(SERVERS, update.getContentsCount());
        assertEquals(7, InventoryProgress.NONE.advance(update).version());
    }
}
