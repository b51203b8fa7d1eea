package org.borageproxy.spread;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;

/**
 * Changes that have come in several answers and are applied together with the last one. Immutable and thread safe.
 *
 * @param isFull whether they replace all records
 * @param completeSince the newest version when the first answer was made, if they replace all records; else zero
 * @param through the version up to which they are complete
 * @param items the changed records, in order of their versions
 */
record StagedChanges(boolean isFull, long completeSince, long through, List<Item> items) {

    /** Copies the records. */
    StagedChanges {
        items = List.copyOf(items);
    }

    /** Returns the changes of a first answer. */
    static StagedChanges begin(WatchAnswer answer) {
        return new StagedChanges(
                answer.getFull(),
                answer.getFull() ? answer.getNewestVersion() : 0,
                answer.getVersion(),
                answer.getItemsList());
    }

    /** Returns these changes and those of the next answer. */
    StagedChanges plus(WatchAnswer next) {
        return new StagedChanges(isFull, completeSince, next.getVersion(), join(next));
    }

    /** Returns a single answer with these changes and those of the last answer. */
    WatchAnswer complete(WatchAnswer last) {
        return last.toBuilder()
                .setFull(isFull || last.getFull())
                .clearItems()
                .addAllItems(last.getFull() ? last.getItemsList() : join(last))
                .build();
    }

    private List<Item> join(WatchAnswer next) {
        List<Item> joined = new ArrayList<>(items);
        joined.addAll(next.getItemsList());
        return joined;
    }
}
