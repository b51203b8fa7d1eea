package org.borageproxy.buffer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.borageproxy.time.MonotonicClock;

/**
 * Account of the bytes that this VM buffers for requests. The held bytes never exceed a bound, except that a
 * reservation which alone holds the bytes of its workspace, caller or server is bounded by the total only, so that a
 * large body can pass. Every byte is returned exactly once, at the latest by the release of its reservation. Not thread
 * safe; confined to one event loop.
 */
public final class BufferAccount {

    private static final Duration MIN_ROOM_AFTER = Duration.ofMillis(50);
    /** Bound on estimates, since the memory in use changes within seconds. */
    private static final Duration MAX_ROOM_AFTER = Duration.ofSeconds(10);

    private final BufferLimits limits;
    private final MonotonicClock clock;
    private final Map<Shortage.Bound, Map<String, Holding>> holdings = new EnumMap<>(Shortage.Bound.class);
    private final Set<Reservation> reservations = new LinkedHashSet<>();
    private final Set<Waiter> waiters = new LinkedHashSet<>();
    private final ReleaseRate releaseRate;
    private long heldBytes;
    /** Bytes of bodies that have begun and are still to come. */
    private long expectedBytes;

    private long peakBytes;
    private long refusals;
    private boolean isResuming;

    /** A body that is not read until there is room. Not thread safe. */
    public static final class Waiter {
        /** Bodies that have begun come first, since they hold memory; then the most urgent ones. */
        private static final Comparator<Waiter> ORDER = Comparator.comparing((Waiter each) -> !each.hasBegun)
                .thenComparing(each -> each.owner.cost(), Comparator.reverseOrder());

        private final BufferOwner owner;
        private final boolean hasBegun;
        private final BooleanSupplier isReady;
        private final Runnable resume;

        private Waiter(BufferOwner owner, boolean hasBegun, BooleanSupplier isReady, Runnable resume) {
            this.owner = owner;
            this.hasBegun = hasBegun;
            this.isReady = isReady;
            this.resume = resume;
        }
    }

    /**
     * Creates an empty account.
     *
     * @param limits the bounds
     * @param clock the clock
     */
    public BufferAccount(BufferLimits limits, MonotonicClock clock) {
        this.limits = limits;
        this.clock = clock;
        this.releaseRate = new ReleaseRate(clock.nanoTime());
        for (Shortage.Bound bound : Shortage.Bound.values()) {
            holdings.put(bound, new HashMap<>());
        }
    }

    /**
     * Reserves bytes for a request. Requests that cost their callers less may be refused to make room.
     *
     * @param owner for whom the bytes are buffered
     * @param bytes the number of bytes, not negative; a reservation of zero bytes is always granted
     * @return a {@link Reservation}, which must be released, or a {@link Shortage}
     */
    public ReservationResult reserve(BufferOwner owner, long bytes) {
        Reservation reservation = open(owner);
        Optional<Shortage> shortage = grow(reservation, bytes);
        if (shortage.isPresent()) {
            reservation.release();
            return shortage.get();
        }
        return reservation;
    }

    /**
     * Opens a reservation that holds no bytes yet.
     *
     * @param owner for whom bytes will be buffered
     * @return the reservation, which must be released
     */
    public Reservation open(BufferOwner owner) {
        Reservation reservation = new Reservation(
                this,
                owner,
                open(Shortage.Bound.WORKSPACE, owner.workspace()),
                open(Shortage.Bound.CALLER, owner.caller()),
                open(Shortage.Bound.SERVER, owner.server()));
        reservations.add(reservation);
        return reservation;
    }

    private Holding open(Shortage.Bound bound, String name) {
        if (name.isEmpty()) {
            return Holding.NONE;
        }
        Holding holding = holdings.get(bound).computeIfAbsent(name, key -> new Holding());
        holding.open();
        return holding;
    }

    Optional<Shortage> grow(Reservation reservation, long added) {
        if (added == 0) {
            return Optional.empty();
        }
        Optional<Shortage> shortage =
                exceededBound(reservation, added).map(bound -> newShortage(bound, reservation, added));
        if (shortage.isPresent() && evict(reservation, added, shortage.get())) {
            shortage = exceededBound(reservation, added).map(bound -> newShortage(bound, reservation, added));
        }
        if (shortage.isEmpty()) {
            expect(reservation, -Math.min(added, reservation.expectedBytes()));
            change(reservation, added);
        } else {
            refusals++;
        }
        return shortage;
    }

    private Optional<Shortage.Bound> exceededBound(Reservation reservation, long added) {
        if (heldBytes + added > limits.totalBytes()) {
            return Optional.of(Shortage.Bound.TOTAL);
        }
        if (exceeds(Shortage.Bound.WORKSPACE, reservation, added)) {
            return Optional.of(Shortage.Bound.WORKSPACE);
        }
        if (exceeds(Shortage.Bound.CALLER, reservation, added)) {
            return Optional.of(Shortage.Bound.CALLER);
        }
        return exceeds(Shortage.Bound.SERVER, reservation, added)
                ? Optional.of(Shortage.Bound.SERVER)
                : Optional.empty();
    }

    private boolean exceeds(Shortage.Bound bound, Reservation reservation, long added) {
        Holding holding = reservation.holding(bound);
        return holding != Holding.NONE
                && holding.bytes() > reservation.bytes()
                && holding.bytes() + added > limit(bound);
    }

    private long heldBytes(Shortage.Bound bound, String name) {
        return bound == Shortage.Bound.TOTAL
                ? heldBytes
                : holdings.get(bound).getOrDefault(name, Holding.NONE).bytes();
    }

    private long heldOrExpectedBytes(Shortage.Bound bound, String name) {
        return bound == Shortage.Bound.TOTAL
                ? heldBytes + expectedBytes
                : holdings.get(bound).getOrDefault(name, Holding.NONE).heldOrExpectedBytes();
    }

    private long limit(Shortage.Bound bound) {
        return switch (bound) {
            case TOTAL -> limits.totalBytes();
            case WORKSPACE -> limits.workspaceBytes();
            case CALLER -> limits.callerBytes();
            case SERVER -> limits.serverBytes();
        };
    }

    private static String nameOf(Shortage.Bound bound, BufferOwner owner) {
        return switch (bound) {
            case TOTAL -> "";
            case WORKSPACE -> owner.workspace();
            case CALLER -> owner.caller();
            case SERVER -> owner.server();
        };
    }

    private Shortage newShortage(Shortage.Bound bound, Reservation reservation, long added) {
        String name = nameOf(bound, reservation.owner());
        long held = heldBytes(bound, name);
        long missing = held + added - limit(bound);
        long underWay = 0;
        for (Reservation each : reservations) {
            boolean isUnderBound = nameOf(bound, each.owner()).equals(name);
            underWay += each != reservation && isUnderBound && each.evictor().isEmpty() ? each.bytes() : 0;
        }
        return new Shortage(bound, held, limit(bound), roomAfter(bound, name, missing), underWay >= missing);
    }

    /**
     * Estimates when bytes will have been returned: by the rate of the last seconds, and at the latest when the
     * deadlines of enough holders have passed.
     */
    private Duration roomAfter(Shortage.Bound bound, String name, long missing) {
        long nowNanos = clock.nanoTime();
        Duration estimate = MAX_ROOM_AFTER;
        long expected = 0;
        for (Reservation each : byDeadline(bound, name)) {
            expected += each.bytes() + each.expectedBytes();
            if (expected >= missing) {
                long nanos = each.owner().cost().deadline().remainingNanos(nowNanos);
                estimate = nanos > 0 ? Duration.ofNanos(nanos) : estimate;
                break;
            }
        }
        // The rate is that of the whole account; a share gets back its part of it.
        double part = heldBytes == 0 ? 1 : heldBytes(bound, name) / (double) heldBytes;
        Duration byRate = releaseRate.timeFor(missing / Math.max(Double.MIN_NORMAL, part), nowNanos);
        Duration earlier = byRate.compareTo(estimate) < 0 ? byRate : estimate;
        Duration bounded = earlier.compareTo(MAX_ROOM_AFTER) > 0 ? MAX_ROOM_AFTER : earlier;
        return bounded.compareTo(MIN_ROOM_AFTER) < 0 ? MIN_ROOM_AFTER : bounded;
    }

    private List<Reservation> byDeadline(Shortage.Bound bound, String name) {
        List<Reservation> holders = new ArrayList<>();
        for (Reservation each : reservations) {
            if (each.bytes() + each.expectedBytes() > 0
                    && nameOf(bound, each.owner()).equals(name)) {
                holders.add(each);
            }
        }
        holders.sort(Comparator.comparing(each -> each.owner().cost().deadline()));
        return holders;
    }

    /** Refuses the requests of lower cost under the exceeded bound, if that makes enough room. */
    private boolean evict(Reservation reservation, long added, Shortage shortage) {
        String name = nameOf(shortage.bound(), reservation.owner());
        List<Reservation> victims = new ArrayList<>();
        for (Reservation each : reservations) {
            boolean isCheaper =
                    each.owner().cost().compareTo(reservation.owner().cost()) < 0;
            boolean isUnderBound = nameOf(shortage.bound(), each.owner()).equals(name);
            if (each != reservation && each.evictor().isPresent() && each.bytes() > 0 && isUnderBound && isCheaper) {
                victims.add(each);
            }
        }
        victims.sort(Comparator.comparing(each -> each.owner().cost()));
        long missing = shortage.heldBytes() + added - shortage.limitBytes();
        int count = 0;
        for (long freed = 0; count < victims.size() && freed < missing; count++) {
            freed += victims.get(count).bytes();
        }
        long freeable =
                victims.subList(0, count).stream().mapToLong(Reservation::bytes).sum();
        if (freeable < missing) {
            return false;
        }
        for (Reservation victim : victims.subList(0, count)) {
            refusals++;
            victim.evictor().ifPresent(evictor -> evictor.refuse(shortage));
        }
        return true;
    }

    void expect(Reservation reservation, long change) {
        reservation.addExpected(change);
        expectedBytes += change;
    }

    private void change(Reservation reservation, long change) {
        reservation.add(change);
        heldBytes += change;
        peakBytes = Math.max(peakBytes, heldBytes);
    }

    /** Adds bytes that are buffered already, and returns whether all bounds still hold. */
    boolean record(Reservation reservation, long added) {
        change(reservation, added);
        return isWithinBounds(reservation);
    }

    boolean isWithinBounds(Reservation reservation) {
        return exceededBound(reservation, 0).isEmpty();
    }

    void shrink(Reservation reservation, long removed) {
        if (removed <= 0) {
            return;
        }
        change(reservation, -removed);
        releaseRate.record(removed, clock.nanoTime());
        resumeWaiters();
    }

    void remove(Reservation reservation) {
        reservations.remove(reservation);
        close(Shortage.Bound.WORKSPACE, reservation);
        close(Shortage.Bound.CALLER, reservation);
        close(Shortage.Bound.SERVER, reservation);
        resumeWaiters();
    }

    private void close(Shortage.Bound bound, Reservation reservation) {
        Holding holding = reservation.holding(bound);
        if (holding != Holding.NONE && holding.close()) {
            holdings.get(bound).remove(nameOf(bound, reservation.owner()));
        }
    }

    /**
     * Returns whether a body may be read that has not begun.
     *
     * @param owner the owner of the request
     * @return {@code false} while the bytes held in total, by the workspace or by the caller are near their bound
     */
    public boolean mayBegin(BufferOwner owner) {
        return heldBytes + expectedBytes < BufferLimits.readingMark(limits.totalBytes())
                && isBelowMark(Shortage.Bound.WORKSPACE, owner.workspace())
                && isBelowMark(Shortage.Bound.CALLER, owner.caller());
    }

    private boolean isBelowMark(Shortage.Bound bound, String name) {
        return heldOrExpectedBytes(bound, name) < BufferLimits.readingMark(limit(bound));
    }

    /**
     * Returns when a body may be read that must not begin now.
     *
     * @param owner the owner of the request
     * @return the estimated time
     */
    public Duration mayBeginAfter(BufferOwner owner) {
        Shortage.Bound bound = Shortage.Bound.TOTAL;
        if (!isBelowMark(Shortage.Bound.WORKSPACE, owner.workspace())) {
            bound = Shortage.Bound.WORKSPACE;
        } else if (!isBelowMark(Shortage.Bound.CALLER, owner.caller())) {
            bound = Shortage.Bound.CALLER;
        }
        long held = heldOrExpectedBytes(bound, nameOf(bound, owner));
        long missing = Math.max(1, held - BufferLimits.readingMark(limit(bound)) + 1);
        return roomAfter(bound, nameOf(bound, owner), missing);
    }

    /**
     * Waits for room for a body that must not begin now. The most urgent waiter is resumed first.
     *
     * @param owner the owner of the request
     * @param resume begins to read the body; called at most once
     * @return the waiter
     */
    public Waiter awaitBeginning(BufferOwner owner, Runnable resume) {
        return add(new Waiter(owner, false, () -> mayBegin(owner), resume));
    }

    /**
     * Waits for room for the next part of a body.
     *
     * @param reservation the reservation of the body
     * @param added the bytes that must be added
     * @param resume reserves the bytes again; called at most once
     * @return the waiter
     */
    public Waiter awaitRoom(Reservation reservation, long added, Runnable resume) {
        return add(new Waiter(
                reservation.owner(),
                true,
                () -> exceededBound(reservation, added).isEmpty(),
                resume));
    }

    private Waiter add(Waiter waiter) {
        waiters.add(waiter);
        return waiter;
    }

    /**
     * Ends a wait. Has no effect on a waiter that was resumed.
     *
     * @param waiter the waiter
     */
    public void cancel(Waiter waiter) {
        waiters.remove(waiter);
    }

    private void resumeWaiters() {
        if (waiters.isEmpty() || isResuming) {
            return;
        }
        isResuming = true;
        try {
            List<Waiter> ordered = new ArrayList<>(waiters);
            ordered.sort(Waiter.ORDER);
            for (Waiter waiter : ordered) {
                if (heldBytes >= limits.totalBytes()) {
                    return;
                }
                if (waiter.isReady.getAsBoolean() && waiters.remove(waiter)) {
                    waiter.resume.run();
                }
            }
        } finally {
            isResuming = false;
        }
    }

    /**
     * Returns whether a copy of a body could be buffered for a backend server now.
     *
     * @param body the reservation of the body
     * @param server the server
     * @param bytes the size of the copy
     * @return {@code false} if the bound of the server or of the total would be exceeded; a body that nothing is held
     *     beside has room in any case
     */
    public boolean hasRoomFor(Reservation body, String server, long bytes) {
        long held = heldBytes(Shortage.Bound.SERVER, server);
        boolean isWithinTotal = heldBytes + bytes <= limits.totalBytes() || heldBytes == body.bytes();
        return isWithinTotal && (held == 0 || held + bytes <= limits.serverBytes());
    }

    /**
     * Returns the bounds.
     *
     * @return the bounds
     */
    public BufferLimits limits() {
        return limits;
    }

    /**
     * Returns the bytes that are held.
     *
     * @return the number of bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns the most bytes that were held at once.
     *
     * @return the number of bytes
     */
    public long peakBytes() {
        return peakBytes;
    }

    /**
     * Returns the number of refused reservations and of requests that were refused to make room.
     *
     * @return the number since the creation of the account
     */
    public long refusalCount() {
        return refusals;
    }

    /**
     * Returns the number of bodies that wait to be read.
     *
     * @return the number of waiters
     */
    public int waiterCount() {
        return waiters.size();
    }

    /**
     * Returns the number of open reservations.
     *
     * @return the number of reservations that were not released, with those that hold no bytes
     */
    public int openCount() {
        return reservations.size();
    }
}
