package org.borageproxy.control;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Collectors;

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
import org.borageproxy.wire.proto.ControlProtocol.StreamRecord;
import org.borageproxy.wire.proto.ControlProtocol.TreeState;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicated state machine of the control group. Deterministic: it reads no clock and does not parse operators'
 * documents, so members that run different releases compute the same state. One lock guards all tables; listeners are
 * called without it. Thread safe.
 */
public final class ControlState implements StateMachine {

    /** Logs commands that fail with an internal error. Such a command fails alike on every member. */
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlState.class);

    /** Prefix of the names of VM records. */
    private static final String VM_PREFIX = "vm/";

    /** Name of the record with the published document, which is independent of the documents of the settings tree. */
    private static final String DOCUMENT = "document";

    /** Prefix of the names of the records of drained zones, which have no value; the zone follows. */
    public static final String DRAINED_ZONE_PREFIX = "drained-zone/";

    private final ReentrantLock lock = new ReentrantLock();
    private final WatchedRecords records = new WatchedRecords();
    private final ChangeTable changes = new ChangeTable(records);
    private final ClaimTable claims = new ClaimTable();
    private final LeaseTable leases = new LeaseTable(records);
    private final IntentLedger intents = new IntentLedger(leases);
    private final CrashTable crashes = new CrashTable(records);
    private final StreamTable streams = new StreamTable();
    private final ReplyCache replies = new ReplyCache();
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
            records.save(snapshot);
            changes.save(snapshot);
            claims.save(snapshot);
            leases.save(snapshot);
            intents.save(snapshot);
            crashes.save(snapshot);
            streams.save(snapshot);
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
            throw new IllegalArgumentException("Control group snapshot cannot be parsed", exception);
        }
        lock.lock();
        try {
            records.load(snapshot);
            changes.load(snapshot);
            claims.load(snapshot);
            leases.load(snapshot);
            intents.load(snapshot);
            crashes.load(snapshot);
            streams.load(snapshot);
            replies.load(snapshot);
        } finally {
            lock.unlock();
        }
        listeners.forEach(Runnable::run);
    }

    /**
     * Registers a listener that is called after each applied command and each restored snapshot. It must not block.
     *
     * @param listener the listener
     */
    public void subscribe(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Returns the version of the last change to the watched records.
     *
     * @return the version, zero before the first change
     */
    public long version() {
        lock.lock();
        try {
            return records.version();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the changes to the watched records after a version. Returns all records instead if removals after that
     * version have been evicted or the version is zero or in the future.
     *
     * @param after the version that the watching VM holds, zero if it holds none
     * @return the changes or all records
     */
    public Changes changesAfter(long after) {
        return changesAfter(after, 0);
    }

    /**
     * Returns the changes to the watched records after a version, to a VM that reads all records in several answers. It
     * needs the removals after the version at which it began only, since it had no records before.
     *
     * @param after the version up to which the watching VM has read
     * @param completeSince the newest version when it began, zero if it had records then
     * @return the changes or all records
     */
    public Changes changesAfter(long after, long completeSince) {
        lock.lock();
        try {
            boolean isFull = !records.isCompleteAfter(after, completeSince);
            List<Item> items = isFull ? records.all() : records.changesAfter(after);
            return new Changes(records.version(), changes.revision(), isFull, items);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a revision of the settings tree.
     *
     * @param revision the revision, or zero for the latest
     * @return the tree with its document, empty if the revision does not exist or has been evicted
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
     * Lists the retained revisions of the settings tree without their documents.
     *
     * @return the revisions in ascending order
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
     * Lists the API keys.
     *
     * @return the keys, including withdrawn ones
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
     * @return the record, empty if the VM is not registered
     */
    public Optional<VmRecord> vm(String name) {
        lock.lock();
        try {
            return records.find(VM_PREFIX + name).filter(Item::hasVm).map(Item::getVm);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lists the registered VMs.
     *
     * @return the records, least recently changed first
     */
    public List<VmRecord> vms() {
        lock.lock();
        try {
            return records.all().stream().filter(Item::hasVm).map(Item::getVm).toList();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the document that an operator published with the highest number. It is independent of the documents of
     * the settings tree.
     *
     * @return the document, empty before the first publication
     */
    public Optional<DocumentState> document() {
        lock.lock();
        try {
            return records.find(DOCUMENT).map(Item::getDocument);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the zones whose servers get no requests by order of an operator.
     *
     * @return the names of the zones
     */
    public Set<String> drainedZones() {
        lock.lock();
        try {
            return records.all().stream()
                    .map(Item::getName)
                    .filter(name -> name.startsWith(DRAINED_ZONE_PREFIX))
                    .map(name -> name.substring(DRAINED_ZONE_PREFIX.length()))
                    .collect(Collectors.toUnmodifiableSet());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Lists the leases of all duties.
     *
     * @return the leases, including released ones
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
     * Returns what is recorded of a resumable stream.
     *
     * @param request the identity of a request that began or resumed the stream
     * @return the records; several if requests with this identity had different origins
     */
    public List<StreamRecord> streams(String request) {
        lock.lock();
        try {
            return streams.find(request);
        } finally {
            lock.unlock();
        }
    }

    /** Expires old entries and applies a command unless its reply is cached. The caller holds the lock. */
    private Reply applyLocked(long stateMillis, Command command) {
        claims.expire(stateMillis);
        crashes.expire(stateMillis);
        streams.expire(stateMillis);
        replies.expire(stateMillis);
        Optional<Reply> earlier = replies.find(command.getIdentity());
        if (earlier.isPresent()) {
            return earlier.get();
        }
        Reply reply = dispatch(stateMillis, command);
        replies.store(command.getIdentity(), reply, stateMillis);
        return reply;
    }

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
            case RECORD_INTENT -> intents.record(command.getRecordIntent().getIntent());
            case RESOLVE_INTENTS -> intents.resolve(command.getResolveIntents());
            case READ_INTENTS -> intents.read();
            case REPORT_CRASH -> crashes.report(command.getReportCrash(), stateMillis);
            case CLEAR_CRASH -> {
                crashes.clear(command.getClearCrash().getFingerprint());
                yield done();
            }
            case GRANT_TRIAL -> crashes.grantTrial(command.getGrantTrial(), stateMillis);
            case VOUCH_FOR_PART -> crashes.vouch(command.getVouchForPart().getFingerprint(), stateMillis);
            case REGISTER_VM -> {
                register(command.getRegisterVm().getVm());
                yield done();
            }
            case PUBLISH_DOCUMENT -> publish(command.getPublishDocument());
            case RECORD_STREAMS -> {
                streams.record(command.getRecordStreams(), stateMillis);
                yield done();
            }
            case DRAIN_ZONE -> drainZone(command.getDrainZone().getZone());
            case RETURN_ZONE -> returnZone(command.getReturnZone().getZone());
            case REMOVE_VM -> removeVm(command.getRemoveVm().getName());
            default ->
                Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
        };
    }

    private void register(VmRecord vm) {
        records.put(Item.newBuilder().setName(VM_PREFIX + vm.getName()).setVm(vm));
    }

    /** Replaces the published document if the new number is higher, and replies with the number in force. */
    private Reply publish(PublishDocument change) {
        long currentNumber = records.find(DOCUMENT)
                .map(item -> item.getDocument().getNumber())
                .orElse(0L);
        if (change.getNumber() > currentNumber) {
            DocumentState document = DocumentState.newBuilder()
                    .setNumber(change.getNumber())
                    .setContent(change.getContent())
                    .build();
            records.put(Item.newBuilder().setName(DOCUMENT).setDocument(document));
            currentNumber = change.getNumber();
        }
        return Reply.newBuilder()
                .setDocumentHeld(DocumentHeld.newBuilder().setNumber(currentNumber))
                .build();
    }

    private Reply drainZone(String zone) {
        if (!drainedZones().contains(zone)) {
            records.put(Item.newBuilder().setName(DRAINED_ZONE_PREFIX + zone));
        }
        return done();
    }

    private Reply returnZone(String zone) {
        records.remove(DRAINED_ZONE_PREFIX + zone);
        return done();
    }

    /** Removes the record of a VM. A VM that is still running registers again. */
    private Reply removeVm(String name) {
        if (records.find(VM_PREFIX + name).filter(Item::hasVm).isEmpty()) {
            return Reply.newBuilder().setMissing(Missing.getDefaultInstance()).build();
        }
        records.remove(VM_PREFIX + name);
        return done();
    }

    private static Reply done() {
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /**
     * Changes to the watched records.
     *
     * @param version the version after the changes
     * @param revision the revision of the last accepted change of the tree or a key
     * @param full whether the items are all records rather than changes
     * @param items the records, and tombstones of removed ones
     */
    public record Changes(long version, long revision, boolean full, List<Item> items) {}
}
