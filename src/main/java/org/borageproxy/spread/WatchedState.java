package org.borageproxy.spread;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.borageproxy.control.ControlState;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.tree.KeyRecord;
import org.borageproxy.tree.TreeError;
import org.borageproxy.tree.TreeParseResult;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.KeyState;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.TreeState;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;

/**
 * A VM's copy of the watched records at one version, with the configuration derived from them. Versions and revisions
 * never decrease from one copy to the next. Immutable and thread safe.
 */
final class WatchedState {

    /** State before the first answer. */
    static final WatchedState EMPTY = new WatchedState(
            0, 0, Map.of(), Map.of(), TreeState.getDefaultInstance(), EffectiveTree.EMPTY, Configuration.EMPTY);

    private static final String TREE = "tree";
    private static final String DOCUMENT = "document";

    private final long version;

    /** Revision of the settings tree and the keys at that version. */
    private final long revision;

    /** Records by name; of a record whose newest value has not arrived, an earlier one if there is one. */
    private final Map<String, Item> items;

    /** Records whose newest value has not arrived, by name, with the chunks of the value. */
    private final Map<String, Item> missing;

    /** Revision of the settings tree whose document was parsed into {@link #tree}. */
    private final TreeState document;

    private final EffectiveTree tree;
    private final Configuration configuration;

    private final WatchedSuspicions suspicions;

    /** Zones whose servers get no requests by order of an operator. */
    private final Set<AvailabilityZone> drainedZones;

    private WatchedState(
            long version,
            long revision,
            Map<String, Item> items,
            Map<String, Item> missing,
            TreeState document,
            EffectiveTree tree,
            Configuration configuration) {
        this.version = version;
        this.revision = revision;
        this.items = items;
        this.missing = missing;
        this.document = document;
        this.tree = tree;
        this.configuration = configuration;
        this.suspicions = WatchedSuspicions.among(items.values());
        this.drainedZones = items.keySet().stream()
                .filter(name -> name.startsWith(ControlState.DRAINED_ZONE_PREFIX))
                .map(name -> new AvailabilityZone(name.substring(ControlState.DRAINED_ZONE_PREFIX.length())))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Applies the changes of an answer; large values may be named by their chunks only. Returns this object as the
     * applied state if nothing changed. The document is parsed only if its revision differs.
     */
    Update apply(WatchAnswer answer) {
        if (answer.getVersion() < version || answer.getRevision() < revision) {
            return new Update.Stale();
        }
        boolean isUnchanged = answer.getItemsCount() == 0 && answer.getVersion() == version;
        if (isUnchanged && !answer.getFull() && answer.getRevision() == revision) {
            return new Update.Applied(this);
        }
        Map<String, Item> merged = new HashMap<>(answer.getFull() ? Map.of() : items);
        Map<String, Item> newMissing = new HashMap<>(answer.getFull() ? Map.of() : missing);
        for (Item item : answer.getItemsList()) {
            String name = item.getName();
            if (item.hasChunks()) {
                Item present = items.get(name);
                if (present != null) {
                    merged.put(name, present);
                }
                if (present == null || present.getVersion() < item.getVersion()) {
                    newMissing.put(name, item);
                }
            } else if (item.getRemoved()) {
                merged.remove(name);
                newMissing.remove(name);
            } else {
                merged.put(name, item);
                newMissing.remove(name);
            }
        }
        return derive(answer.getVersion(), answer.getRevision(), merged, newMissing);
    }

    /**
     * Applies the value of a record that was missing. An older value than the missing one replaces the present one and
     * leaves the newer one missing; one that is not newer than the present one changes nothing.
     */
    Update complete(Item value) {
        Item present = items.get(value.getName());
        Item awaited = missing.get(value.getName());
        boolean isNewer = present == null || present.getVersion() < value.getVersion();
        if (awaited == null || !isNewer || value.getVersion() > awaited.getVersion()) {
            return new Update.Applied(this);
        }
        Map<String, Item> merged = new HashMap<>(items);
        merged.put(value.getName(), value);
        Map<String, Item> newMissing = new HashMap<>(missing);
        if (awaited.getVersion() == value.getVersion()) {
            newMissing.remove(value.getName());
        }
        return derive(version, revision, merged, newMissing);
    }

    /** Returns the state with other records. The configuration stays as it is while the settings tree is missing. */
    private Update derive(long newVersion, long newRevision, Map<String, Item> newItems, Map<String, Item> newMissing) {
        Item treeItem = newItems.get(TREE);
        boolean isTreeMissing = newMissing.containsKey(TREE);
        TreeState newDocument = isTreeMissing || treeItem == null ? TreeState.getDefaultInstance() : treeItem.getTree();
        EffectiveTree newTree = tree;
        if (isTreeMissing) {
            newDocument = document;
        } else if (newDocument.getRevision() != document.getRevision()) {
            TreeParseResult reading = TreeParseResult.parse(newDocument.getDocument());
            if (reading instanceof TreeParseResult.Invalid invalid) {
                return new Update.InvalidDocument(newDocument.getRevision(), invalid.errors());
            }
            newTree = ((TreeParseResult.Valid) reading).tree();
        }
        Configuration newConfiguration = isTreeMissing || newRevision == configuration.revision()
                ? configuration
                : newTree.toConfiguration(newRevision, keysOf(newItems));
        return new Update.Applied(new WatchedState(
                newVersion,
                newRevision,
                Map.copyOf(newItems),
                Map.copyOf(newMissing),
                newDocument,
                newTree,
                newConfiguration));
    }

    /** Returns the version of the last applied change. */
    long version() {
        return version;
    }

    /** Returns the records whose newest value has not arrived, by name, with the chunks of the value. */
    Map<String, Item> missing() {
        return missing;
    }

    /** Returns whether a newer document has been published than the one that has arrived. */
    boolean isDocumentMissing() {
        return missing.containsKey(DOCUMENT);
    }

    Configuration configuration() {
        return configuration;
    }

    EffectiveTree tree() {
        return tree;
    }

    WatchedSuspicions suspicions() {
        return suspicions;
    }

    /**
     * Returns the published document, which is independent of the settings tree; empty before the first publication.
     */
    Optional<DocumentState> published() {
        return Optional.ofNullable(items.get(DOCUMENT)).map(Item::getDocument);
    }

    /** Returns the version at which the published document was accepted, zero before the first publication. */
    long documentVersion() {
        return Optional.ofNullable(items.get(DOCUMENT)).map(Item::getVersion).orElse(0L);
    }

    /** Returns the zones whose servers get no requests. */
    Set<AvailabilityZone> drainedZones() {
        return drainedZones;
    }

    /** Returns the lease of a duty, or the default instance if none is known. */
    LeaseState lease(String duty) {
        Item item = items.get("lease/" + duty);
        return item == null ? LeaseState.getDefaultInstance() : item.getLease();
    }

    /** Returns the registered VMs. */
    List<VmAddress> vms() {
        return addresses(false);
    }

    /** Returns the VMs registered as members of the control group. */
    List<VmAddress> controlVms() {
        return addresses(true);
    }

    private List<VmAddress> addresses(boolean onlyControl) {
        return items.values().stream()
                .filter(Item::hasVm)
                .map(Item::getVm)
                .filter(vm -> vm.getControl() || !onlyControl)
                .map(WatchedState::addressOf)
                .toList();
    }

    private static VmAddress addressOf(VmRecord vm) {
        return new VmAddress(new VmName(vm.getName()), new AvailabilityZone(vm.getZone()), vm.getHost(), vm.getPort());
    }

    /** Returns the API keys among records, by digest. */
    private static Map<String, KeyRecord> keysOf(Map<String, Item> items) {
        return items.values().stream()
                .filter(Item::hasKey)
                .map(Item::getKey)
                .collect(Collectors.toUnmodifiableMap(
                        KeyState::getDigest,
                        key -> new KeyRecord(
                                key.getIdentity(), key.getDigest(), key.getWorkspace(), key.getWithdrawn())));
    }

    /** Result of applying an answer. Implementations are immutable. */
    sealed interface Update {

        /**
         * The answer was applied.
         *
         * @param state the state with the changes
         */
        record Applied(WatchedState state) implements Update {}

        /** The answer is older than the present state. */
        record Stale() implements Update {}

        /**
         * The document of the tree cannot be read by this release.
         *
         * @param revision the revision of the document
         * @param errors the errors in the document
         */
        record InvalidDocument(long revision, List<TreeError> errors) implements Update {}
    }
}
