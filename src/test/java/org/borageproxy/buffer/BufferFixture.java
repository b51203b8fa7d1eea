package org.borageproxy.buffer;

import org.borageproxy.time.MonotonicClock;

/** Buffer accounts for tests. */
public final class BufferFixture {

    private static final long HEAP_BYTES = 160L << 20;

    private BufferFixture() {}

    /**
     * Returns an account with the bounds of a process with a heap of 160 MB.
     *
     * @param clock the clock
     * @return an empty account
     */
    public static BufferAccount account(MonotonicClock clock) {
        return new BufferAccount(BufferLimits.of(HEAP_BYTES, HEAP_BYTES), clock);
    }
}
