package org.borageproxy.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.Submission;
import org.borageproxy.control.Timer;
import org.borageproxy.forward.StreamOrigins;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RecordStreams;
import org.borageproxy.wire.proto.ControlProtocol.StreamRecord;
import org.borageproxy.wire.proto.CoordinationProtocol.BegunStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the origins of streams in the replicated log, so that streams can be resumed after all VMs were killed at once.
 * The origins that arrive within an interval are one command; without new streams there is none. A batch that is not
 * committed in time is lost: its streams cannot be resumed after such a loss, and are refused. Not thread safe;
 * confined to the event loop of the timer.
 */
final class StreamArchive implements StreamOrigins.Archive {

    private static final Logger LOGGER = LoggerFactory.getLogger(StreamArchive.class);
    /** Time in which origins are collected; each command costs every control VM a disk sync and messages. */
    private static final Duration INTERVAL = Duration.ofMillis(250);
    /** Maximum number of origins of a command; the rest follows in the next one. */
    private static final int MAX_BATCH = 2_000;
    /** Maximum number of origins that wait; exceeds those of a new term, when all entries report all of theirs. */
    private static final int MAX_WAITING = 50_000;

    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(2);

    private final ControlState state;
    private final ControlClient client;
    private final Timer timer;
    private final List<StreamRecord> waiting = new ArrayList<>();
    private boolean isScheduled;

    StreamArchive(ControlState state, ControlClient client, Timer timer) {
        this.state = state;
        this.client = client;
        this.timer = timer;
    }

    @Override
    public void add(BegunStream stream) {
        if (waiting.size() >= MAX_WAITING || isArchived(stream)) {
            return;
        }
        waiting.add(StreamRecord.newBuilder()
                .setRequest(stream.getRequest())
                .setService(stream.getService())
                .setSoftwareVersion(stream.getSoftwareVersion())
                .build());
        schedule();
    }

    private boolean isArchived(BegunStream stream) {
        return find(stream.getRequest()).stream()
                .anyMatch(known -> known.getService().equals(stream.getService())
                        && known.getSoftwareVersion().equals(stream.getSoftwareVersion()));
    }

    private void schedule() {
        if (!isScheduled && !waiting.isEmpty()) {
            isScheduled = true;
            timer.schedule(INTERVAL, () -> {
                isScheduled = false;
                submit();
                schedule();
            });
        }
    }

    private void submit() {
        List<StreamRecord> batch = waiting.subList(0, Math.min(MAX_BATCH, waiting.size()));
        int count = batch.size();
        Command.Builder command =
                Command.newBuilder().setRecordStreams(RecordStreams.newBuilder().addAllStreams(batch));
        batch.clear();
        client.submit(command, client.deadlineAfter(COMMIT_TIMEOUT)).thenAccept(submission -> {
            if (!(submission instanceof Submission.Replied replied)
                    || !replied.reply().hasDone()) {
                LOGGER.info("event=stream-origins-not-archived count={}", count);
            }
        });
    }

    @Override
    public List<BegunStream> find(String request) {
        return state.streams(request).stream()
                .map(stream -> BegunStream.newBuilder()
                        .setRequest(request)
                        .setService(stream.getService())
                        .setSoftwareVersion(stream.getSoftwareVersion())
                        .build())
                .toList();
    }
}
