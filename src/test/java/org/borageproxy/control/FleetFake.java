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
 * Simulated control VMs and network in one thread and in virtual time. Commands commit immediately. An isolated VM
 * sends no messages, and an isolated control VM applies no commands. Not thread safe.
 */
public final class FleetFake {

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<VmName, ControlState> states = new LinkedHashMap<>();

    /** Handlers by VM and message kind. */
    private final Map<String, VmNetwork.Handler> handlers = new ConcurrentHashMap<>();

    private final Set<VmName> isolated = new HashSet<>();

    /** Commands that are applied on an isolated control VM once it is reconnected. */
    private final Map<VmName, List<ByteString>> missed = new LinkedHashMap<>();

    /** VMs that neither receive nor send a message; a silent control VM applies no commands either. */
    private final Set<VmName> silent = new HashSet<>();

    /** Rates at which answers reach a VM one after the other, in bytes per second; others arrive at once. */
    private final Map<VmName, Long> linkRates = new LinkedHashMap<>();

    /** Rates at which requests leave a VM one after the other, in bytes per second; others leave at once. */
    private final Map<VmName, Long> uplinkRates = new LinkedHashMap<>();

    /** Time at which the answers sent to a VM so far will have arrived. */
    private final Map<VmName, Long> linkFreeAtNanos = new LinkedHashMap<>();

    /** Time at which the requests of a VM so far will have left it. */
    private final Map<VmName, Long> uplinkFreeAtNanos = new LinkedHashMap<>();

    /** The VM that was asked last, by the asking VM and the message kind. */
    private final Map<String, VmName> lastRecipients = new LinkedHashMap<>();

    /** Number of requests, by the asking VM and the message kind. */
    private final Map<String, Integer> requestCounts = new LinkedHashMap<>();

    /** Total size of the bodies of requests and answers between VMs. */
    public long bytes;

    /** Whether the network drops the next answer to a command. */
    public boolean dropNextCommandAnswer;

    private long nowNanos = 1_000_000_000L;

    /** Sequence number of the next task, which orders tasks that are due at the same time. */
    private long order;

    private long index;

    /** Creates control VMs {@code c1} to {@code c3}; the first connected one leads. */
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

    public void isolate(String name) {
        isolated.add(new VmName(name));
    }

    public void reconnect(String name) {
        VmName vm = new VmName(name);
        isolated.remove(vm);
        missed.getOrDefault(vm, List.of()).forEach(command -> states.get(vm).apply(0, millis(), command));
        missed.getOrDefault(vm, new ArrayList<>()).clear();
    }

    /** Makes a VM silent, as if it were gone or cut off without a reset. */
    public void silence(String name) {
        silent.add(new VmName(name));
        isolate(name);
    }

    /** Ends the silence of a VM. */
    public void unsilence(String name) {
        silent.remove(new VmName(name));
        reconnect(name);
    }

    /** Limits the rate at which answers reach a VM, in bytes per second; zero for no limit. */
    public void limitLink(String name, long bytesPerSecond) {
        linkRates.put(new VmName(name), bytesPerSecond);
    }

    /** Limits the rate at which requests leave a VM, in bytes per second; zero for no limit. */
    public void limitUplink(String name, long bytesPerSecond) {
        uplinkRates.put(new VmName(name), bytesPerSecond);
    }

    /** Returns the VM that was sent the last request of a kind. */
    public VmName lastRecipient(String sender, MessageKind kind) {
        return lastRecipients.get(sender + " " + kind);
    }

    /** Returns the number of requests of a kind that a VM has sent. */
    public int requestCount(String sender, MessageKind kind) {
        return requestCounts.getOrDefault(sender + " " + kind, 0);
    }

    public Timer timer() {
        return (delay, task) -> tasks.add(new Task(nowNanos + delay.toNanos(), order++, task));
    }

    public void run(Duration duration) {
        runUntil(() -> false, duration);
    }

    /** Lets time pass without running any task, as if all VMs were frozen. */
    public void freeze(Duration duration) {
        nowNanos += duration.toNanos();
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
        return controlVms().stream()
                .filter(vm -> !isolated.contains(vm))
                .findFirst()
                .orElseThrow();
    }

    private boolean hasMajority() {
        return isolated.stream().filter(states::containsKey).count() < 2;
    }

    private long millis() {
        return nowNanos / 1_000_000L;
    }

    /**
     * A scheduled task.
     *
     * @param atNanos the time at which the task is due
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
                if (isolated.contains(vm)) {
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
            boolean isCurrent = !isolated.contains(self) && hasMajority();
            Duration delay = isCurrent ? Duration.ofMillis(2) : Duration.ofNanos(deadline.remainingNanos(nowNanos));
            timer().schedule(delay, () -> result.complete(isCurrent && !isolated.contains(self)));
            return result;
        }

        @Override
        public Optional<VmName> leader() {
            return hasMajority() ? Optional.of(FleetFake.this.leader()) : Optional.empty();
        }

        @Override
        public boolean isLeader() {
            return hasMajority()
                    && !isolated.contains(self)
                    && FleetFake.this.leader().equals(self);
        }
    }

    /**
     * Network of one VM. Messages of an isolated sender are dropped; an isolated control VM still receives messages.
     */
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
            timer().schedule(
                            remaining, () -> answer.completeExceptionally(new UnreachableException("deadline passed")));
            bytes += body.size();
            lastRecipients.put(self + " " + kind, recipient);
            requestCounts.merge(self + " " + kind, 1, Integer::sum);
            Duration onTheWay = transferTime(body.size(), uplinkRates, uplinkFreeAtNanos);
            timer().schedule(onTheWay.plusMillis(1), () -> {
                VmNetwork.Handler handler = handlers.get(recipient + " " + kind);
                if (handler != null && !isolated.contains(self) && !isSilent(recipient)) {
                    handler.handle(self, body).thenAccept(encoded -> deliver(recipient, kind, encoded, answer));
                }
            });
            return answer;
        }

        private boolean isSilent(VmName other) {
            return silent.contains(self) || silent.contains(other);
        }

        /** Delivers an answer after those that are on their way on the link, also if nobody waits for it any more. */
        private void deliver(
                VmName sender, MessageKind kind, ByteString encoded, CompletableFuture<ByteString> answer) {
            if (isSilent(sender)) {
                return;
            }
            bytes += encoded.size();
            if (kind == MessageKind.CONTROL_COMMAND && dropNextCommandAnswer) {
                dropNextCommandAnswer = false;
                return;
            }
            Duration onTheWay = transferTime(encoded.size(), linkRates, linkFreeAtNanos);
            timer().schedule(onTheWay.plusMillis(1), () -> {
                if (!isSilent(sender)) {
                    answer.complete(encoded);
                }
            });
        }

        private Duration transferTime(int size, Map<VmName, Long> rates, Map<VmName, Long> freeAtNanos) {
            long rate = rates.getOrDefault(self, 0L);
            if (rate == 0) {
                return Duration.ZERO;
            }
            long beginAtNanos = Math.max(nowNanos, freeAtNanos.getOrDefault(self, nowNanos));
            long endAtNanos = beginAtNanos + size * 1_000_000_000L / rate;
            freeAtNanos.put(self, endAtNanos);
            return Duration.ofNanos(endAtNanos - nowNanos);
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            handlers.put(self + " " + kind, handler);
        }
    }
}
