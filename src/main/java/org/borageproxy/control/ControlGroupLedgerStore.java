package org.borageproxy.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.placement.Intent;
import org.borageproxy.placement.LedgerStore;
import org.borageproxy.result.ResultCode;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.IntentRecord;
import org.borageproxy.wire.proto.ControlProtocol.ReadIntents;
import org.borageproxy.wire.proto.ControlProtocol.RecordIntent;
import org.borageproxy.wire.proto.ControlProtocol.ResolveIntents;

/** Stores the placement ledger in the control group. Thread safe. */
public final class ControlGroupLedgerStore implements LedgerStore {

    /** Maximum time for a request, including retries. */
    private static final Duration TIMEOUT = Duration.ofMillis(2500);

    private final ControlClient client;

    /**
     * Creates a store.
     *
     * @param client submits commands to the control group
     */
    public ControlGroupLedgerStore(ControlClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<Optional<Intent>> record(Intent intent) {
        Command.Builder command =
                Command.newBuilder().setRecordIntent(RecordIntent.newBuilder().setIntent(encode(intent)));
        return client.submitForReply(command, client.deadlineAfter(TIMEOUT))
                .thenApply(reply -> reply.hasIntent() ? Optional.of(decode(reply.getIntent())) : Optional.empty());
    }

    @Override
    public CompletionStage<Void> resolve(long epoch, List<Long> numbers) {
        Command.Builder command = Command.newBuilder()
                .setResolveIntents(ResolveIntents.newBuilder().setEpoch(epoch).addAllNumbers(numbers));
        return client.submitForReply(command, client.deadlineAfter(TIMEOUT)).thenAccept(reply -> {
            if (!reply.hasDone()) {
                throw new ControlException(ResultCode.FENCED);
            }
        });
    }

    @Override
    public CompletionStage<List<Intent>> readOpen() {
        Command.Builder command = Command.newBuilder().setReadIntents(ReadIntents.getDefaultInstance());
        return client.submitForReply(command, client.deadlineAfter(TIMEOUT))
                .thenApply(reply -> reply.getIntents().getIntentsList().stream()
                        .map(ControlGroupLedgerStore::decode)
                        .toList());
    }

    private static IntentRecord encode(Intent intent) {
        return IntentRecord.newBuilder()
                .setNumber(intent.number())
                .setEpoch(intent.epoch())
                .setServer(intent.server().value())
                .setIncarnation(intent.incarnation())
                .setAccelerator(intent.accelerator())
                .setAction(intent.action().ordinal())
                .setModel(intent.model())
                .setVersion(intent.version())
                .setAdapter(intent.adapter())
                .setMemoryBytes(intent.memoryBytes())
                .build();
    }

    private static Intent decode(IntentRecord encoded) {
        return new Intent(
                encoded.getNumber(),
                encoded.getEpoch(),
                new BackendServerName(encoded.getServer()),
                encoded.getIncarnation(),
                encoded.getAccelerator(),
                Intent.Action.values()[encoded.getAction()],
                encoded.getModel(),
                encoded.getVersion(),
                encoded.getAdapter(),
                encoded.getMemoryBytes());
    }
}
