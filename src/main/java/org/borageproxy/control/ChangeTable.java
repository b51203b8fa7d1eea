package org.borageproxy.control;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.ControlProtocol.Accepted;
import org.borageproxy.wire.proto.ControlProtocol.ApplyTree;
import org.borageproxy.wire.proto.ControlProtocol.ChangeConflict;
import org.borageproxy.wire.proto.ControlProtocol.ChangeState;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.CreateKey;
import org.borageproxy.wire.proto.ControlProtocol.IdentityConflict;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.KeyCreated;
import org.borageproxy.wire.proto.ControlProtocol.KeyState;
import org.borageproxy.wire.proto.ControlProtocol.Missing;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.Rollback;
import org.borageproxy.wire.proto.ControlProtocol.TreeState;
import org.borageproxy.wire.proto.ControlProtocol.WithdrawKey;

/**
 * Operators' changes: documents of the settings tree, API keys and the replies to accepted changes. Replies and keys
 * are kept without limit, documents up to a number and a total size. The revision increases with every accepted change
 * of the tree or a key. Guarded by the lock of {@link ControlState}.
 */
final class ChangeTable {

    /** Maximum number of retained documents. */
    static final int MAX_DOCUMENTS = 50;

    /**
     * Maximum total length of the retained documents, in characters. The latest document is retained whatever its
     * length.
     */
    static final long MAX_TOTAL_CHARACTERS = 8L * 1024 * 1024;

    private final WatchedRecords records;

    /** Retained documents by revision. */
    private final TreeMap<Long, TreeState> trees = new TreeMap<>();

    /** Keys by identity, including withdrawn ones. */
    private final Map<String, KeyState> keys = new LinkedHashMap<>();

    /** Accepted changes by change identity. */
    private final Map<String, ChangeState> changes = new LinkedHashMap<>();

    private long revision;

    ChangeTable(WatchedRecords records) {
        this.records = records;
    }

    /** Returns the revision of the last accepted change of the tree or a key. */
    long revision() {
        return revision;
    }

    /**
     * Returns the document of a revision, or the latest one for zero. Empty if the revision does not exist or has been
     * evicted.
     */
    Optional<TreeState> tree(long number) {
        if (number == 0) {
            return trees.isEmpty()
                    ? Optional.empty()
                    : Optional.of(trees.lastEntry().getValue());
        }
        return Optional.ofNullable(trees.get(number));
    }

    /** Lists the retained revisions in ascending order, without the text of their documents. */
    List<TreeState> revisions() {
        List<TreeState> revisions = new ArrayList<>();
        trees.values()
                .forEach(tree -> revisions.add(tree.toBuilder().clearDocument().build()));
        return revisions;
    }

    /** Lists the keys, including withdrawn ones. */
    List<KeyState> keys() {
        return List.copyOf(keys.values());
    }

    /**
     * Applies a new document unless its base revision is stale. If the request only looks up a known change, nothing is
     * applied: the reply is that to the accepted change of the same identity, or that it is missing.
     */
    Reply apply(ApplyTree change, long stateMillis) {
        ByteString digest = digestOf("tree", change.getDocument());
        return applyOnce(change.getChangeIdentity(), digest, change.getOperator(), () -> {
            if (change.getOnlyKnown()) {
                return missing();
            }
            if (isStaleBase(change.getBaseRevision())) {
                return conflict();
            }
            return commitTree(change, stateMillis);
        });
    }

    /** Applies a retained document as a new revision. */
    Reply rollback(Rollback change, long stateMillis) {
        ByteString digest = digestOf("rollback", Long.toString(change.getToRevision()));
        return applyOnce(change.getChangeIdentity(), digest, change.getOperator(), () -> {
            if (isStaleBase(change.getBaseRevision())) {
                return conflict();
            }
            TreeState earlier = trees.get(change.getToRevision());
            if (earlier == null) {
                return missing();
            }
            ApplyTree reapplied = ApplyTree.newBuilder()
                    .setChangeIdentity(change.getChangeIdentity())
                    .setDocument(earlier.getDocument())
                    .setOperator(change.getOperator())
                    .build();
            return commitTree(reapplied, stateMillis);
        });
    }

    /** Creates a key. Replies with a conflict if the identity of the key exists. */
    Reply createKey(CreateKey change) {
        ByteString digest = digestOf("key", change.getWorkspace(), change.getKeyIdentity());
        return applyOnce(change.getChangeIdentity(), digest, change.getOperator(), () -> {
            if (keys.containsKey(change.getKeyIdentity())) {
                return conflict();
            }
            KeyState key = KeyState.newBuilder()
                    .setIdentity(change.getKeyIdentity())
                    .setDigest(change.getDigest())
                    .setWorkspace(change.getWorkspace())
                    .build();
            put(key);
            return Reply.newBuilder()
                    .setKeyCreated(KeyCreated.newBuilder().setRevision(revision).setKey(key))
                    .build();
        });
    }

    /** Withdraws a key permanently. Idempotent. */
    Reply withdrawKey(WithdrawKey change) {
        KeyState key = keys.get(change.getKeyIdentity());
        if (key == null) {
            return missing();
        }
        if (!key.getWithdrawn()) {
            put(key.toBuilder().setWithdrawn(true).build());
        }
        return accepted();
    }

    /** Adds the table to a snapshot. */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setRevision(revision)
                .addAllHistory(trees.values())
                .addAllKeys(keys.values())
                .addAllChanges(changes.values());
    }

    /** Replaces the table with the content of a snapshot. */
    void load(ControlSnapshot snapshot) {
        trees.clear();
        keys.clear();
        changes.clear();
        revision = snapshot.getRevision();
        snapshot.getHistoryList().forEach(tree -> trees.put(tree.getRevision(), tree));
        snapshot.getKeysList().forEach(key -> keys.put(key.getIdentity(), key));
        snapshot.getChangesList().forEach(change -> changes.put(change.getIdentity(), change));
    }

    /**
     * Applies a change at most once per change identity. A repetition returns the reply to the accepted change, or a
     * conflict if its content digest differs. Refused changes are not recorded and may be submitted again.
     */
    private Reply applyOnce(String identity, ByteString digest, String operator, Supplier<Reply> change) {
        ChangeState earlier = changes.get(identity);
        if (earlier != null) {
            return earlier.getDigest().equals(digest) ? earlier.getReply() : conflictWith(earlier);
        }
        Reply reply = change.get();
        if (reply.hasAccepted() || reply.hasKeyCreated()) {
            changes.put(
                    identity,
                    ChangeState.newBuilder()
                            .setIdentity(identity)
                            .setDigest(digest)
                            .setOperator(operator)
                            .setReply(reply)
                            .build());
        }
        return reply;
    }

    private Reply commitTree(ApplyTree change, long stateMillis) {
        revision++;
        TreeState tree = TreeState.newBuilder()
                .setRevision(revision)
                .setDocument(change.getDocument())
                .setChangeIdentity(change.getChangeIdentity())
                .setOperator(change.getOperator())
                .setAcceptedAtMillis(stateMillis)
                .build();
        trees.put(revision, tree);
        evictOldest();
        records.put(Item.newBuilder().setName("tree").setTree(tree));
        return accepted();
    }

    private void evictOldest() {
        long characters = trees.values().stream()
                .mapToLong(tree -> tree.getDocument().length())
                .sum();
        while (trees.size() > 1 && (trees.size() > MAX_DOCUMENTS || characters > MAX_TOTAL_CHARACTERS)) {
            characters -= trees.pollFirstEntry().getValue().getDocument().length();
        }
    }

    private void put(KeyState key) {
        revision++;
        keys.put(key.getIdentity(), key);
        records.put(Item.newBuilder().setName("key/" + key.getIdentity()).setKey(key));
    }

    /**
     * Whether the tree has changed since a base revision, or the base revision does not exist yet. Changes of keys do
     * not make a base stale.
     */
    private boolean isStaleBase(long baseRevision) {
        long treeRevision = trees.isEmpty() ? 0 : trees.lastKey();
        return baseRevision < treeRevision || baseRevision > revision;
    }

    private static Reply missing() {
        return Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
    }

    private Reply accepted() {
        return Reply.newBuilder()
                .setAccepted(Accepted.newBuilder().setRevision(revision))
                .build();
    }

    private Reply conflict() {
        ChangeConflict.Builder conflict = ChangeConflict.newBuilder().setCurrentRevision(revision);
        tree(0).ifPresent(tree -> conflict.setHolder(tree.getChangeIdentity()));
        return Reply.newBuilder().setChangeConflict(conflict).build();
    }

    private static Reply conflictWith(ChangeState earlier) {
        Reply reply = earlier.getReply();
        long acceptedRevision = reply.hasAccepted()
                ? reply.getAccepted().getRevision()
                : reply.getKeyCreated().getRevision();
        return Reply.newBuilder()
                .setIdentityConflict(IdentityConflict.newBuilder()
                        .setHolder(earlier.getOperator())
                        .setRevision(acceptedRevision))
                .build();
    }

    /**
     * Returns the SHA-256 digest of length-prefixed parts, so that different splits of the same text have different
     * digests.
     */
    private static ByteString digestOf(String... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : parts) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
                digest.update(bytes);
            }
            return ByteString.copyFrom(digest.digest());
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
