package org.borageproxy.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;

/**
 * Control VMs and a network in one thread and in virtual time. The group commits at once while the leader is not cut
 * off; a cut VM neither sends nor gets messages. Not thread safe.
 */
public final class FleetFake {

    /** The pending tasks. */
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();

    /** The states by control VM. */
    private final Map<VmName, ControlState> states = new LinkedHashMap<>();

    /** The handlers by VM and kind. */
    private final Map<String, VmNetwork.Handler> handlers = new ConcurrentHashMap<>();

    /** The VMs that are cut off. */
    private final Set<VmName> cut = new HashSet<>();

    /** The commands that a cut control VM has missed. */
    private final Map<VmName, List<ByteString>> missed = new LinkedHashMap<>();

    /** Counts the bytes of requests and answers between VMs. */
    public long bytes;

    /** Whether the network drops the next answer to a command. */
    public boolean dropNextCommandAnswer;

    /** The virtual time. */
    private long nowNanos = 1_000_000_000L;

    /** The order of tasks that are due at the same time. */
    private long order;

    /** The last index of the log. */
    private long index;

    /** Creates a fleet with control VMs {@code c1} to {@code c3}, of which {@code c1} leads. */
    public FleetFake() {
        for (VmName name : controlVms()) {
            states.put(name, new ControlState());
            missed.put(name, new ArrayList<>());
        }
    }

    public List<VmName> controlVms() {
        return List.of(new VmName("c1"), new VmName("c2"), new VmName("c3"));
    }

    public ControlState state(String name) {
        return states.get(new VmName(name));
    }

    public long nanoTime() {
        return nowNanos;
    }

    public void cut(String name) {
        cut.add(new VmName(name));
    }

    public void heal(String name) {
        VmName vm = new VmName(name);
        cut.remove(vm);
        missed.getOrDefault(vm, List.of()).forEach(command -> states.get(vm).apply(0, millis(), command));
        missed.getOrDefault(vm, new ArrayList<>()).clear();
    }

    public Timer timer() {
        return (delay, task) -> tasks.add(new Task(nowNanos + delay.toNanos(), order++, task));
    }

    public void run(Duration duration) {
        runUntil(() -> false, duration);
    }

    public boolean runUntil(BooleanSupplier condition, Duration duration) {
        long end = nowNanos + duration.toNanos();
        while (!condition.getAsBoolean()) {
            Task next = tasks.peek();
            if (next == null || next.atNanos() > end) {
                nowNanos = end;
                return condition.getAsBoolean();
            }
            tasks.poll();
            nowNanos = Math.max(nowNanos, next.atNanos());
            next.task().run();
        }
        return true;
    }

    public <T> T await(CompletionStage<T> stage) {
        CompletableFuture<T> future = stage.toCompletableFuture();
        runUntil(future::isDone, Duration.ofSeconds(60));
        return future.join();
    }

    public ControlClient client(String name) {
        return new ControlClient(new VmName(name), network(name), this::controlVms, this::nanoTime, timer());
    }

    public ReplicatedLog log(String name) {
        return new Log(new VmName(name));
    }

    public VmNetwork network(String name) {
        return new Network(new VmName(name));
    }

    private VmName leader() {
        return controlVms().stream().filter(vm -> !cut.contains(vm)).findFirst().orElseThrow();
    }

    private boolean hasMajority() {
        return cut.stream().filter(states::containsKey).count() < 2;
    }

    private long millis() {
        return nowNanos / 1_000_000L;
    }

    /**
     * A task at a time.
     *
     * @param atNanos when the task is due
     * @param order the order among tasks that are due at the same time
     * @param task the task
     */
    private record Task(long atNanos, long order, Runnable task) implements Comparable<Task> {

        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A member of the control group. */
    private final class Log implements ReplicatedLog {

        private final VmName self;

        private Log(VmName self) {
            this.self = self;
        }

        @Override
        public CompletionStage<ProposalOutcome> propose(ByteString command, Deadline deadline) {
            if (!isLeader()) {
                return CompletableFuture.completedFuture(new ProposalOutcome.NotLeader(leader()));
            }
            index++;
            ByteString reply = ByteString.EMPTY;
            for (VmName vm : controlVms()) {
                if (cut.contains(vm)) {
                    missed.get(vm).add(command);
                } else {
                    ByteString own = states.get(vm).apply(index, millis(), command);
                    reply = vm.equals(self) ? own : reply;
                }
            }
            return CompletableFuture.completedFuture(new ProposalOutcome.Committed(index, reply));
        }

        @Override
        public CompletionStage<Boolean> confirmRead(Deadline deadline) {
            CompletableFuture<Boolean> result = new CompletableFuture<>();
            boolean isCurrent = !cut.contains(self) && hasMajority();
            Duration delay = isCurrent ? Duration.ofMillis(2) : Duration.ofNanos(deadline.remainingNanos(nowNanos));
            timer().schedule(delay, () -> result.complete(isCurrent && !cut.contains(self)));
            return result;
        }

        @Override
        public Optional<VmName> leader() {
            return hasMajority() ? Optional.of(FleetFake.this.leader()) : Optional.empty();
        }

        @Override
        public boolean isLeader() {
            return hasMajority()
                    && !cut.contains(self)
                    && FleetFake.this.leader().equals(self);
        }
    }

    /** The network as one VM sees it. Control VMs that are cut off from each other still reach the entries. */
    private final class Network implements VmNetwork {

        private final VmName self;

        private Network(VmName self) {
            this.self = self;
        }

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            request(recipient, kind, body, new Deadline(nowNanos));
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            Duration remaining = Duration.ofNanos(deadline.remainingNanos(nowNanos));
            timer().schedule(remaining, () -> answer.completeExceptionally(new UnreachableException("Late")));
            bytes += body.size();
            timer().schedule(Duration.ofMillis(1), () -> {
                VmNetwork.Handler handler = handlers.get(recipient + " " + kind);
                if (handler != null && !cut.contains(self)) {
                    handler.handle(self, body).thenAccept(encoded -> deliver(kind, encoded, answer));
                }
            });
            return answer;
        }

        private void deliver(MessageKind kind, ByteString encoded, CompletableFuture<ByteString> answer) {
            bytes += encoded.size();
            if (kind == MessageKind.CONTROL_COMMAND && dropNextCommandAnswer) {
                dropNextCommandAnswer = false;
                return;
            }
            timer().schedule(Duration.ofMillis(1), () -> answer.complete(encoded));
        }

        @Override
        public void handle(MessageKind kind, Handler handler) {
            handlers.put(self + " " + kind, handler);
        }
    }
}
