package org.borageproxy.spread;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.borageproxy.execution.Suspicion;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.tree.KeyRecord;
import org.borageproxy.tree.TreeError;
import org.borageproxy.tree.TreeReading;
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
 * What one VM holds of the control group's state at one version. Versions and revisions only rise from one replica to
 * the next. Immutable and thread safe.
 */
final class SpreadReplica {

    /** The replica of a VM that has heard nothing yet. */
    static final SpreadReplica EMPTY =
            new SpreadReplica(0, Map.of(), TreeState.getDefaultInstance(), EffectiveTree.EMPTY, Configuration.EMPTY);

    /** The version. */
    private final long version;

    /** The records by name. */
    private final Map<String, Item> items;

    /** The document of the tree. */
    private final TreeState document;

    /** The tree read from the document. */
    private final EffectiveTree tree;

    /** The configuration. */
    private final Configuration configuration;

    /** The suspicions by fingerprint. */
    private final Map<String, Suspicion> suspicions;

    /**
     * Creates a replica.
     *
     * @param version the version
     * @param items the records by name
     * @param document the document of the tree
     * @param tree the tree read from the document
     * @param configuration the configuration
     */
    private SpreadReplica(
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
    }

    /**
     * Returns this replica with the changes of an answer.
     *
     * @param answer the answer of a control VM
     * @return the later replica, this one, or why the changes cannot be taken
     */
    Update with(WatchAnswer answer) {
        if (answer.getVersion() < version || answer.getRevision() < configuration.revision()) {
            return new Update.Backwards();
        }
        boolean isUnchanged = answer.getItemsCount() == 0 && answer.getVersion() == version;
        if (isUnchanged && !answer.getFull() && answer.getRevision() == configuration.revision()) {
            return new Update.Taken(this);
        }
        Map<String, Item> merged = new HashMap<>(answer.getFull() ? Map.of() : items);
        for (Item item : answer.getItemsList()) {
            if (item.getRemoved()) {
                merged.remove(item.getName());
            } else {
                merged.put(item.getName(), item);
            }
        }
        Item newest = merged.get("tree");
        TreeState newestDocument = newest == null ? TreeState.getDefaultInstance() : newest.getTree();
        EffectiveTree newestTree = tree;
        if (newestDocument.getRevision() != document.getRevision()) {
            TreeReading reading = TreeReading.of(newestDocument.getDocument());
            if (reading instanceof TreeReading.Invalid invalid) {
                return new Update.Unreadable(newestDocument.getRevision(), invalid.errors());
            }
            newestTree = ((TreeReading.Valid) reading).tree();
        }
        Configuration merging = answer.getRevision() == configuration.revision()
                ? configuration
                : newestTree.configuration(answer.getRevision(), keysOf(merged));
        return new Update.Taken(
                new SpreadReplica(answer.getVersion(), Map.copyOf(merged), newestDocument, newestTree, merging));
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    long version() {
        return version;
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration
     */
    Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the tree.
     *
     * @return the tree
     */
    EffectiveTree tree() {
        return tree;
    }

    /**
     * Returns the suspicion of a request.
     *
     * @param fingerprint the request's fingerprint
     * @return the suspicion
     */
    Suspicion suspicion(String fingerprint) {
        return suspicions.getOrDefault(fingerprint, Suspicion.NONE);
    }

    /**
     * Returns the published document.
     *
     * @return the document, empty before the first
     */
    Optional<DocumentState> published() {
        return Optional.ofNullable(items.get("document")).map(Item::getDocument);
    }

    /**
     * Returns the lease of a duty.
     *
     * @param duty the duty's name
     * @return the lease, or the default instance if none is known
     */
    LeaseState lease(String duty) {
        Item item = items.get("lease/" + duty);
        return item == null ? LeaseState.getDefaultInstance() : item.getLease();
    }

    /**
     * Returns the VMs that have registered.
     *
     * @return the addresses
     */
    List<VmAddress> vms() {
        return addresses(false);
    }

    /**
     * Returns the VMs that take part in the control group.
     *
     * @return their addresses
     */
    List<VmAddress> controlVms() {
        return addresses(true);
    }

    private List<VmAddress> addresses(boolean onlyControl) {
        return items.values().stream()
                .filter(Item::hasVm)
                .map(Item::getVm)
                .filter(vm -> vm.getControl() || !onlyControl)
                .map(SpreadReplica::addressOf)
                .toList();
    }

    /**
     * Decodes the record of a VM.
     *
     * @param vm the record
     * @return the address
     */
    private static VmAddress addressOf(VmRecord vm) {
        return new VmAddress(new VmName(vm.getName()), new AvailabilityZone(vm.getZone()), vm.getHost(), vm.getPort());
    }

    /**
     * Returns the keys among records.
     *
     * @param items the records by name
     * @return the keys by digest
     */
    private static Map<String, KeyRecord> keysOf(Map<String, Item> items) {
        return items.values().stream()
                .filter(Item::hasKey)
                .map(Item::getKey)
                .collect(Collectors.toUnmodifiableMap(
                        KeyState::getDigest,
                        key -> new KeyRecord(
                                key.getIdentity(), key.getDigest(), key.getWorkspace(), key.getWithdrawn())));
    }

    /** What came of an answer. Implementations are immutable. */
    sealed interface Update {

        /**
         * The changes were taken.
         *
         * @param replica the replica with the changes
         */
        record Taken(SpreadReplica replica) implements Update {}

        /** The answer is older than the replica. */
        record Backwards() implements Update {}

        /**
         * The document cannot be read by this release.
         *
         * @param revision the document's revision
         * @param errors what is wrong
         */
        record Unreadable(long revision, List<TreeError> errors) implements Update {}
    }
}
