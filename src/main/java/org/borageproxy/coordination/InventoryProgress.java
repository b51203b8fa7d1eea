package org.borageproxy.coordination;

import java.util.Map;
import java.util.TreeMap;

import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerContent;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;

/**
 * How far an entry has received what the servers hold. In a large fleet it comes in several answers, in order of the
 * servers' names. If it changes meanwhile, the entry has an old version in the end and begins again. Immutable and
 * thread safe.
 *
 * @param version the version that has been received in full, zero for none
 * @param begunVersion the version at the first of several answers, zero if none is awaited
 * @param after the last server of the answers so far, empty if none is awaited
 */
public record InventoryProgress(long version, long begunVersion, String after) {

    /** Nothing has been received. */
    public static final InventoryProgress NONE = new InventoryProgress(0, 0, "");

    /** Size of the contents of an answer from which further ones follow in the next. */
    private static final int MAXIMUM_ANSWER_BYTES = 16 << 10;

    /**
     * Returns the progress after an answer.
     *
     * @param update the answer
     * @return the progress
     */
    public InventoryProgress advance(CoordinationUpdate update) {
        if (update.getContentsVersion() == 0) {
            return this;
        }
        long first = isPartial() ? begunVersion : update.getContentsVersion();
        return update.getContentsAfter().isEmpty()
                ? new InventoryProgress(first, 0, "")
                : new InventoryProgress(version, first, update.getContentsAfter());
    }

    /**
     * Returns whether the next answer brings more.
     *
     * @return {@code true} if answers are awaited
     */
    public boolean isPartial() {
        return !after.isEmpty();
    }

    /**
     * Adds the progress to a report.
     *
     * @param report the report
     */
    public void addTo(UsageReport.Builder report) {
        report.setContentsVersion(version).setAcceptsPartialContents(true).setContentsAfter(after);
    }

    /**
     * Adds what the servers hold to the answer to a report, or a part if the entry accepts that.
     *
     * @param report the report
     * @param inventories what the servers hold, by name
     * @param update the answer
     */
    static void addContents(
            UsageReport report, Map<String, ModelInventory> inventories, CoordinationUpdate.Builder update) {
        if (!report.getAcceptsPartialContents()) {
            inventories.forEach((name, inventory) -> update.addContents(inventory.encode(name)));
            return;
        }
        int bytes = 0;
        String last = report.getContentsAfter();
        for (Map.Entry<String, ModelInventory> inventory :
                new TreeMap<>(inventories).tailMap(last, false).entrySet()) {
            if (bytes >= MAXIMUM_ANSWER_BYTES) {
                update.setContentsAfter(last);
                return;
            }
            ServerContent content = inventory.getValue().encode(inventory.getKey());
            update.addContents(content);
            bytes += content.getSerializedSize();
            last = inventory.getKey();
        }
    }
}
