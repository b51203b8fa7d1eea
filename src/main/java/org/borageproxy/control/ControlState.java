package org.borageproxy.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.log.StateMachine;
import org.borageproxy.wire.proto.ControlProtocol.ClaimState;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.DocumentHeld;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.borageproxy.wire.proto.ControlProtocol.Done;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.KeyState;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.Missing;
import org.borageproxy.wire.proto.ControlProtocol.PublishDocument;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.TreeState;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state of the control group. Deterministic: it reads no clock, and it does not parse operators' documents, so that
 * members with different releases stay equal. One lock guards all tables; listeners are called without it. Safe for use
 * by any thread.
 */
public final class ControlState implements StateMachine {

    /** Logs commands that fail for an internal reason, which they do alike on every member. */
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlState.class);

    /** Stands before the name of a VM in the name of its record. */
    private static final String VM_PREFIX = "vm/";

    /** The name of the item that holds the published document. */
    private static final String DOCUMENT = "document";

    /** Guards all tables. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The records that every VM holds. */
    private final SpreadTable spread = new SpreadTable();

    /** The operators' changes. */
    private final ChangeTable changes = new ChangeTable(spread);

    /** The claims of requests. */
    private final ClaimTable claims = new ClaimTable();

    /** The leases of duties. */
    private final LeaseTable leases = new LeaseTable(spread);

    /** The intents of orders. */
    private final IntentLedger ledger = new IntentLedger(leases);

    /** The requests that end backend servers. */
    private final CrashTable crashes = new CrashTable(spread);

    /** The replies to recent commands. */
    private final ReplyMemory replies = new ReplyMemory();

    /** What is called after each change. */
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    @Override
    public ByteString apply(long index, long stateMillis, ByteString command) {
        Reply reply;
        lock.lock();
        try {
            reply = applyLocked(stateMillis, Command.parseFrom(command));
        } catch (InvalidProtocolBufferException exception) {
            reply = Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
        } catch (RuntimeException exception) {
            LOGGER.error("event=control-command-failed index={}", index, exception);
            reply = Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
        } finally {
            lock.unlock();
        }
        listeners.forEach(Runnable::run);
        return reply.toByteString();
    }

    @Override
    public ByteString snapshot() {
        lock.lock();
        try {
            ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder();
            spread.save(snapshot);
            changes.save(snapshot);
            claims.save(snapshot);
            leases.save(snapshot);
            ledger.save(snapshot);
            crashes.save(snapshot);
            replies.save(snapshot);
            return snapshot.build().toByteString();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void restore(ByteString encoded) {
        ControlSnapshot snapshot;
        try {
            snapshot = ControlSnapshot.parseFrom(encoded);
        } catch (InvalidProtocolBufferException exception) {
            throw new IllegalArgumentException("The snapshot of the control group's state is damaged", exception);
        }
        lock.lock();
        try {
            spread.load(snapshot);
            changes.load(snapshot);
            claims.load(snapshot);
            leases.load(snapshot);
            ledger.load(snapshot);
            crashes.load(snapshot);
            replies.load(snapshot);
        } finally {
            lock.unlock();
        }
        listeners.forEach(Runnable::run);
    }

    /**
     * Registers a listener that is called after each applied command; it must not block.
     *
     * @param listener the listener
     */
    public void subscribe(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Returns the version of the last change of the records that every VM holds.
     *
     * @return the version
     */
    public long version() {
        lock.lock();
        try {
            return spread.version();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns what a VM lacks that holds the records up to a version.
     *
     * @param after the version, zero for a VM that holds nothing
     * @return the changes, or everything if the changes are not all known
     */
    public Changes changesAfter(long after) {
        lock.lock();
        try {
            boolean isFull = !spread.reaches(after);
            List<Item> items = isFull ? spread.all() : spread.changesAfter(after);
            return new Changes(spread.version(), changes.revision(), isFull, items);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a document of the tree.
     *
     * @param revision the document's revision, or zero for the newest
     * @return the document
     */
    public Optional<TreeState> tree(long revision) {
        lock.lock();
        try {
            return changes.tree(revision);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lists the documents that are kept, without their text.
     *
     * @return the documents in order of their revisions
     */
    public List<TreeState> revisions() {
        lock.lock();
        try {
            return changes.revisions();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lists the keys.
     *
     * @return the keys, withdrawn ones included
     */
    public List<KeyState> keys() {
        lock.lock();
        try {
            return changes.keys();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the record of a VM.
     *
     * @param name the VM's name
     * @return the record
     */
    public Optional<VmRecord> vm(String name) {
        lock.lock();
        try {
            return spread.find(VM_PREFIX + name).filter(Item::hasVm).map(Item::getVm);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lists the VMs that have registered.
     *
     * @return the records
     */
    public List<VmRecord> vms() {
        lock.lock();
        try {
            return spread.all().stream().filter(Item::hasVm).map(Item::getVm).toList();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the published document.
     *
     * @return the document with the highest number, empty before the first
     */
    public Optional<DocumentState> document() {
        lock.lock();
        try {
            return spread.find(DOCUMENT).map(Item::getDocument);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the leases.
     *
     * @return the leases, released ones included
     */
    public List<LeaseState> leases() {
        lock.lock();
        try {
            return leases.all();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies a command while the lock is held.
     *
     * @param stateMillis the state's time in milliseconds since 1970
     * @param command the command
     * @return the reply
     */
    private Reply applyLocked(long stateMillis, Command command) {
        claims.expire(stateMillis);
        crashes.expire(stateMillis);
        replies.expire(stateMillis);
        Optional<Reply> earlier = replies.find(command.getIdentity());
        if (earlier.isPresent()) {
            return earlier.get();
        }
        Reply reply = dispatch(stateMillis, command);
        replies.remember(command.getIdentity(), reply, stateMillis);
        return reply;
    }

    /**
     * Gives a command to the table that it is for.
     *
     * @param stateMillis the state's time in milliseconds since 1970
     * @param command the command
     * @return the reply
     */
    private Reply dispatch(long stateMillis, Command command) {
        return switch (command.getBodyCase()) {
            case APPLY_TREE -> changes.apply(command.getApplyTree(), stateMillis);
            case ROLLBACK -> changes.rollback(command.getRollback(), stateMillis);
            case CREATE_KEY -> changes.createKey(command.getCreateKey());
            case WITHDRAW_KEY -> changes.withdrawKey(command.getWithdrawKey());
            case CLAIM -> claims.claim(command.getClaim(), stateMillis);
            case COMPLETE_CLAIM -> claims.complete(command.getCompleteClaim());
            case RELEASE_CLAIM -> claims.end(command.getReleaseClaim(), ClaimState.Phase.RELEASED);
            case ABANDON_CLAIM -> claims.end(command.getAbandonClaim(), ClaimState.Phase.MAY_HAVE_RUN);
            case ACQUIRE_LEASE -> leases.acquire(command.getAcquireLease());
            case RELEASE_LEASE -> leases.release(command.getReleaseLease());
            case RECORD_INTENT -> ledger.record(command.getRecordIntent().getIntent());
            case RESOLVE_INTENTS -> ledger.resolve(command.getResolveIntents());
            case READ_INTENTS -> ledger.read();
            case REPORT_CRASH -> crashes.report(command.getReportCrash(), stateMillis);
            case CLEAR_CRASH -> {
                crashes.clear(command.getClearCrash().getFingerprint());
                yield done();
            }
            case REGISTER_VM -> {
                register(command.getRegisterVm().getVm());
                yield done();
            }
            case PUBLISH_DOCUMENT -> publish(command.getPublishDocument());
            case REMOVE_VM -> removeVm(command.getRemoveVm().getName());
            default ->
                Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
        };
    }

    /**
     * Sets the record of a VM.
     *
     * @param vm the VM
     */
    private void register(VmRecord vm) {
        spread.put(Item.newBuilder().setName(VM_PREFIX + vm.getName()).setVm(vm));
    }

    /**
     * Replaces the published document by one with a higher number; any other is held to be known.
     *
     * @param change the document
     * @return the number of the document in force
     */
    private Reply publish(PublishDocument change) {
        long held = spread.find(DOCUMENT)
                .map(item -> item.getDocument().getNumber())
                .orElse(0L);
        if (change.getNumber() > held) {
            DocumentState document = DocumentState.newBuilder()
                    .setNumber(change.getNumber())
                    .setContent(change.getContent())
                    .build();
            spread.put(Item.newBuilder().setName(DOCUMENT).setDocument(document));
            held = change.getNumber();
        }
        return Reply.newBuilder()
                .setDocumentHeld(DocumentHeld.newBuilder().setNumber(held))
                .build();
    }

    /**
     * Removes the record of a VM; a VM that still runs registers again.
     *
     * @param name the VM's name
     * @return the reply
     */
    private Reply removeVm(String name) {
        if (spread.find(VM_PREFIX + name).filter(Item::hasVm).isEmpty()) {
            return Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
        }
        spread.remove(VM_PREFIX + name);
        return done();
    }

    /**
     * Returns the reply to a command that took effect.
     *
     * @return the reply
     */
    private static Reply done() {
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /**
     * What a VM lacks of the records that every VM holds.
     *
     * @param version the version that the VM holds with the changes
     * @param revision the revision of the last accepted change of the tree or a key
     * @param full whether the items are everything rather than changes
     * @param items the records and the marks of removed ones
     */
    public record Changes(long version, long revision, boolean full, List<Item> items) {}
}
