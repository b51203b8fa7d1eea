package org.borageproxy.spread;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.borageproxy.control.ControlState;
import org.borageproxy.execution.Suspicion;
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
    static final WatchedState EMPTY =
            new WatchedState(0, Map.of(), TreeState.getDefaultInstance(), EffectiveTree.EMPTY, Configuration.EMPTY);

    private final long version;

    /** Records by name. */
    private final Map<String, Item> items;

    /** Revision of the settings tree whose document was parsed into {@link #tree}. */
    private final TreeState document;

    private final EffectiveTree tree;
    private final Configuration configuration;

    /** Suspicions by request fingerprint. */
    private final Map<String, Suspicion> suspicions;

    /** Zones whose servers get no requests by order of an operator. */
    private final Set<AvailabilityZone> drainedZones;

    private WatchedState(
            long version,
            Map<String, Item> items,
            TreeState document,
            EffectiveTree tree,
            Configuration configuration) {
        this.version = version;
        this.items = items;
        this.document = document;
        this.tree = tree;
        this.configuration = configuration;
        this.suspicions = items.values().stream()
                .filter(Item::hasCrash)
                .map(Item::getCrash)
                .collect(Collectors.toUnmodifiableMap(
                        crash -> crash.getFingerprint(),
                        crash -> crash.getQuarantined() ? Suspicion.QUARANTINED : Suspicion.SUSPECT));
        this.drainedZones = items.keySet().stream()
                .filter(name -> name.startsWith(ControlState.DRAINED_ZONE_PREFIX))
                .map(name -> new AvailabilityZone(name.substring(ControlState.DRAINED_ZONE_PREFIX.length())))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Applies the changes of an answer. Returns this object as the applied state if nothing changed. The document is
     * parsed only if its revision differs.
     */
    Update apply(WatchAnswer answer) {
        if (answer.getVersion() < version || answer.getRevision() < configuration.revision()) {
            return new Update.Stale();
        }
        boolean isUnchanged = answer.getItemsCount() == 0 && answer.getVersion() == version;
        if (isUnchanged && !answer.getFull() && answer.getRevision() == configuration.revision()) {
            return new Update.Applied(this);
        }
        Map<String, Item> merged = new HashMap<>(answer.getFull() ? Map.of() : items);
        for (Item item : answer.getItemsList()) {
            if (item.getRemoved()) {
                merged.remove(item.getName());
            } else {
                merged.put(item.getName(), item);
            }
        }
        Item treeItem = merged.get("tree");
        TreeState newDocument = treeItem == null ? TreeState.getDefaultInstance() : treeItem.getTree();
        EffectiveTree newTree = tree;
        if (newDocument.getRevision() != document.getRevision()) {
            TreeParseResult reading = TreeParseResult.parse(newDocument.getDocument());
            if (reading instanceof TreeParseResult.Invalid invalid) {
                return new Update.InvalidDocument(newDocument.getRevision(), invalid.errors());
            }
            newTree = ((TreeParseResult.Valid) reading).tree();
        }
        Configuration newConfiguration = answer.getRevision() == configuration.revision()
                ? configuration
                : newTree.toConfiguration(answer.getRevision(), keysOf(merged));
        return new Update.Applied(
                new WatchedState(answer.getVersion(), Map.copyOf(merged), newDocument, newTree, newConfiguration));
    }

    /** Returns the version of the last applied change. */
    long version() {
        return version;
    }

    Configuration configuration() {
        return configuration;
    }

    EffectiveTree tree() {
        return tree;
    }

    Suspicion suspicion(String fingerprint) {
        return suspicions.getOrDefault(fingerprint, Suspicion.NONE);
    }

    /**
     * Returns the published document, which is independent of the settings tree; empty before the first publication.
     */
    Optional<DocumentState> published() {
        return Optional.ofNullable(items.get("document")).map(Item::getDocument);
    }

    /** Returns the version at which the published document was accepted, zero before the first publication. */
    long documentVersion() {
        return Optional.ofNullable(items.get("document")).map(Item::getVersion).orElse(0L);
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
