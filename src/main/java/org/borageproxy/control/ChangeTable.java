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
 * The operators' changes: the documents of the tree, the keys and the replies to accepted changes. Replies and keys are
 * kept for good, documents up to a number. The revision rises with every accepted change of the tree or of a key.
 * Guarded by the lock of {@link ControlState}.
 */
final class ChangeTable {

    /** The number of documents that are kept. */
    static final int KEPT_DOCUMENTS = 50;

    /** The size of all documents that are kept, in characters; the newest one is kept whatever its size. */
    static final long KEPT_CHARACTERS = 8L * 1024 * 1024;

    /** The records that every VM holds. */
    private final SpreadTable spread;

    /** The documents by revision. */
    private final TreeMap<Long, TreeState> history = new TreeMap<>();

    /** The keys by identity, withdrawn ones included. */
    private final Map<String, KeyState> keys = new LinkedHashMap<>();

    /** The accepted changes by identity. */
    private final Map<String, ChangeState> changes = new LinkedHashMap<>();

    /** The revision of the last accepted change. */
    private long revision;

    /**
     * Creates an empty table.
     *
     * @param spread the records that every VM holds
     */
    ChangeTable(SpreadTable spread) {
        this.spread = spread;
    }

    /**
     * Returns the revision of the last accepted change.
     *
     * @return the revision
     */
    long revision() {
        return revision;
    }

    /**
     * Returns a document.
     *
     * @param number the document's revision, or zero for the newest
     * @return the document
     */
    Optional<TreeState> tree(long number) {
        if (number == 0) {
            return history.isEmpty()
                    ? Optional.empty()
                    : Optional.of(history.lastEntry().getValue());
        }
        return Optional.ofNullable(history.get(number));
    }

    /**
     * Lists the documents that are kept, without their text.
     *
     * @return the documents in order of their revisions
     */
    List<TreeState> revisions() {
        List<TreeState> revisions = new ArrayList<>();
        history.values()
                .forEach(tree -> revisions.add(tree.toBuilder().clearDocument().build()));
        return revisions;
    }

    /**
     * Lists the keys.
     *
     * @return the keys, withdrawn ones included
     */
    List<KeyState> keys() {
        return List.copyOf(keys.values());
    }

    /**
     * Applies a change of the tree.
     *
     * @param change the change
     * @param stateMillis the state's time in milliseconds since 1970
     * @return the reply
     */
    Reply apply(ApplyTree change, long stateMillis) {
        ByteString digest = digestOf("tree", change.getDocument());
        return once(change.getChangeIdentity(), digest, change.getOperator(), () -> {
            if (change.getOnlyKnown()) {
                return missing();
            }
            if (isBehind(change.getBaseRevision())) {
                return conflict();
            }
            return accept(change, stateMillis);
        });
    }

    /**
     * Applies an earlier document as a new revision.
     *
     * @param change the change
     * @param stateMillis the state's time in milliseconds since 1970
     * @return the reply
     */
    Reply rollback(Rollback change, long stateMillis) {
        ByteString digest = digestOf("rollback", Long.toString(change.getToRevision()));
        return once(change.getChangeIdentity(), digest, change.getOperator(), () -> {
            if (isBehind(change.getBaseRevision())) {
                return conflict();
            }
            TreeState earlier = history.get(change.getToRevision());
            if (earlier == null) {
                return missing();
            }
            ApplyTree again = ApplyTree.newBuilder()
                    .setChangeIdentity(change.getChangeIdentity())
                    .setDocument(earlier.getDocument())
                    .setOperator(change.getOperator())
                    .build();
            return accept(again, stateMillis);
        });
    }

    /**
     * Creates a key.
     *
     * @param change the change
     * @return the reply
     */
    Reply createKey(CreateKey change) {
        ByteString digest = digestOf("key", change.getWorkspace(), change.getKeyIdentity());
        return once(change.getChangeIdentity(), digest, change.getOperator(), () -> {
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

    /**
     * Withdraws a key for good; a repetition changes nothing.
     *
     * @param change the change
     * @return the reply
     */
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

    /**
     * Adds the table to a snapshot.
     *
     * @param snapshot the snapshot
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setRevision(revision)
                .addAllHistory(history.values())
                .addAllKeys(keys.values())
                .addAllChanges(changes.values());
    }

    /**
     * Replaces the table by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    void load(ControlSnapshot snapshot) {
        history.clear();
        keys.clear();
        changes.clear();
        revision = snapshot.getRevision();
        snapshot.getHistoryList().forEach(tree -> history.put(tree.getRevision(), tree));
        snapshot.getKeysList().forEach(key -> keys.put(key.getIdentity(), key));
        snapshot.getChangesList().forEach(change -> changes.put(change.getIdentity(), change));
    }

    /**
     * Makes a change unless one of its identity was accepted before, and remembers the reply if it is accepted now.
     *
     * @param identity the change's identity
     * @param digest the digest of the change's content
     * @param operator the name of the operator
     * @param change makes the change
     * @return the reply
     */
    private Reply once(String identity, ByteString digest, String operator, Supplier<Reply> change) {
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

    /**
     * Makes a document the newest revision.
     *
     * @param change the change
     * @param stateMillis the state's time in milliseconds since 1970
     * @return the reply
     */
    private Reply accept(ApplyTree change, long stateMillis) {
        revision++;
        TreeState tree = TreeState.newBuilder()
                .setRevision(revision)
                .setDocument(change.getDocument())
                .setChangeIdentity(change.getChangeIdentity())
                .setOperator(change.getOperator())
                .setAcceptedAtMillis(stateMillis)
                .build();
        history.put(revision, tree);
        dropOldest();
        spread.put(Item.newBuilder().setName("tree").setTree(tree));
        return accepted();
    }

    /** Drops the oldest documents beyond what is kept. */
    private void dropOldest() {
        long characters = history.values().stream()
                .mapToLong(tree -> tree.getDocument().length())
                .sum();
        while (history.size() > 1 && (history.size() > KEPT_DOCUMENTS || characters > KEPT_CHARACTERS)) {
            characters -= history.pollFirstEntry().getValue().getDocument().length();
        }
    }

    /**
     * Sets a key at a new revision.
     *
     * @param key the key
     */
    private void put(KeyState key) {
        revision++;
        keys.put(key.getIdentity(), key);
        spread.put(Item.newBuilder().setName("key/" + key.getIdentity()).setKey(key));
    }

    /**
     * Tells whether the tree changed after a revision, or the revision does not exist yet.
     *
     * @param baseRevision the revision that an operator started from
     * @return {@code true} if the operator has not seen the newest tree
     */
    private boolean isBehind(long baseRevision) {
        long treeRevision = history.isEmpty() ? 0 : history.lastKey();
        return baseRevision < treeRevision || baseRevision > revision;
    }

    /**
     * Returns the reply to a change of something that does not exist.
     *
     * @return the reply
     */
    private static Reply missing() {
        return Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
    }

    /**
     * Returns the reply to an accepted change.
     *
     * @return the reply
     */
    private Reply accepted() {
        return Reply.newBuilder()
                .setAccepted(Accepted.newBuilder().setRevision(revision))
                .build();
    }

    /**
     * Returns the reply to a change that lost against another one.
     *
     * @return the reply
     */
    private Reply conflict() {
        ChangeConflict.Builder conflict = ChangeConflict.newBuilder().setCurrentRevision(revision);
        tree(0).ifPresent(tree -> conflict.setHolder(tree.getChangeIdentity()));
        return Reply.newBuilder().setChangeConflict(conflict).build();
    }

    /**
     * Returns the reply to a change whose identity was used with other content.
     *
     * @param earlier the accepted change
     * @return the reply
     */
    private static Reply conflictWith(ChangeState earlier) {
        Reply reply = earlier.getReply();
        long accepted = reply.hasAccepted()
                ? reply.getAccepted().getRevision()
                : reply.getKeyCreated().getRevision();
        return Reply.newBuilder()
                .setIdentityConflict(IdentityConflict.newBuilder()
                        .setHolder(earlier.getOperator())
                        .setRevision(accepted))
                .build();
    }

    /**
     * Returns the digest of a change's content.
     *
     * @param parts the parts of the content
     * @return the digest
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
