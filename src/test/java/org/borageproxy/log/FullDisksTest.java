package org.borageproxy.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.storage.DiskFile;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against changes that are refused or stay unanswered after the disks of all members were full, one after
 * another and never two at once, although all of them have room again.
 */
class FullDisksTest {

    private static final List<VmName> NAMES = List.of(new VmName("a"), new VmName("b"), new VmName("c"));
    /** Small snapshots and segments, so that disks are also full while these are written. */
    private static final LogSettings SETTINGS = LogSettings.IN_PROCESS.withSnapshots(20, 5, 256);
    /** The time within which the users expect an acknowledgement. */
    private static final Duration ACKNOWLEDGEMENT_TIME = Duration.ofSeconds(4);
    /** Longer than an election and the delay after which a failed member starts again. */
    private static final Duration FULL_TIME = Duration.ofMillis(1500);

    private static final int ROUNDS = 1;
    private static final int CHANGES_AFTERWARDS = 60;

    @TempDir
    private Path root;

    /** What fails while a disk is full. */
    private enum Fault {
        NONE,
        NOTHING_WRITTEN,
        HALF_WRITTEN,
        NOT_SYNCED,
        NOT_CREATED
    }

    /** A file on a disk that may be full. */
    private record LimitedFile(DiskFile file, AtomicReference<Fault> fault) implements DiskFile {

        static DiskFile open(Path path, AtomicReference<Fault> fault) throws IOException {
            if (fault.get() == Fault.NOT_CREATED) {
                throw full();
            }
            return new LimitedFile(DiskFile.ChannelFile.open(path), fault);
        }

        private static IOException full() {
            return new IOException("No space left on device");
        }

        @Override
        public void append(ByteBuffer bytes) throws IOException {
            boolean isFull = fault.get() == Fault.NOTHING_WRITTEN || fault.get() == Fault.HALF_WRITTEN;
            if (fault.get() == Fault.HALF_WRITTEN) {
                file.append(bytes.slice(bytes.position(), bytes.remaining() / 2));
            }
            if (isFull) {
                throw full();
            }
            file.append(bytes);
        }

        @Override
        public void sync() throws IOException {
            if (fault.get() == Fault.NOT_SYNCED) {
                throw full();
            }
            file.sync();
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void changesAreAcknowledgedInTimeWhileAndAfterDisksAreFullInTurn(Fault fault) throws Exception {
        try (TestGroup group = new TestGroup(root, SETTINGS, "a", "b", "c")) {
            group.commit("before");
            Map<VmName, AtomicReference<Fault>> disks = new HashMap<>();
            for (VmName name : NAMES) {
                AtomicReference<Fault> disk = new AtomicReference<>(Fault.NONE);
                disks.put(name, disk);
                group.kill(name);
                group.start(name, path -> LimitedFile.open(path, disk));
            }
            group.commit("started");
            for (int round = 0; round < ROUNDS; round++) {
                for (VmName name : NAMES) {
                    disks.get(name).set(fault);
                    changeFor(group, FULL_TIME, fault + " on " + name + " in round " + round);
                    disks.get(name).set(Fault.NONE);
                    changeFor(group, FULL_TIME, "after " + fault + " on " + name + " in round " + round);
                }
            }
            for (int change = 0; change < CHANGES_AFTERWARDS; change++) {
                change(group, "long after, change " + change);
            }
            for (VmName name : NAMES) {
                TestGroup.await(() -> group.stateMachines
                        .get(name)
                        .commands()
                        .contains("long after, change " + (CHANGES_AFTERWARDS - 1)));
            }
        }
    }

    private static void changeFor(TestGroup group, Duration duration, String reason) {
        Deadline end = Deadline.after(TestGroup.CLOCK.nanoTime(), duration);
        for (int change = 0; !end.hasPassed(TestGroup.CLOCK.nanoTime()); change++) {
            change(group, reason + ", change " + change);
        }
    }

    private static void change(TestGroup group, String command) {
        Deadline acknowledged = Deadline.after(TestGroup.CLOCK.nanoTime(), ACKNOWLEDGEMENT_TIME);
        group.commit(command);
        assertTrue(!acknowledged.hasPassed(TestGroup.CLOCK.nanoTime()), command + " was acknowledged late");
    }
}
