package org.borageproxy.buffer;

/**
 * Bounds on the bytes that a VM buffers. Immutable and thread safe.
 *
 * @param totalBytes the maximum for all requests
 * @param workspaceBytes the maximum for the requests of one workspace
 * @param callerBytes the maximum for the requests of one caller
 * @param serverBytes the maximum for what is written to one backend server
 * @param spoolBytes the maximum for what one caller has not taken of an answer that is still being read
 */
public record BufferLimits(long totalBytes, long workspaceBytes, long callerBytes, long serverBytes, long spoolBytes) {

    /**
     * Fraction of the memory that buffers may use. A body is held twice for a moment when its parts are joined, and the
     * rest of the heap is needed for everything else.
     */
    private static final int TOTAL_DIVISOR = 4;

    private static final int WORKSPACE_DIVISOR = 2;
    private static final int CALLER_DIVISOR = 4;
    private static final int SERVER_DIVISOR = 2;
    private static final int SPOOL_DIVISOR = 16;
    /** Numerator and denominator of the fill up to which bodies are read that have not begun. */
    private static final int READING_NUMERATOR = 3;

    private static final int READING_DENOMINATOR = 4;

    /** Checks the bounds. */
    public BufferLimits {
        if (Math.min(totalBytes, Math.min(workspaceBytes, callerBytes)) <= 0 || serverBytes <= 0 || spoolBytes <= 0) {
            throw new IllegalArgumentException("Bounds must be positive");
        }
    }

    /**
     * Derives the bounds from the memory of the process. A buffered byte may lie on the heap and, while it is written
     * to a connection, in direct memory as well, so that the smaller of both counts.
     *
     * @param heapBytes the maximum size of the heap
     * @param directBytes the maximum size of direct memory
     * @return the bounds
     */
    public static BufferLimits of(long heapBytes, long directBytes) {
        long total = Math.max(SPOOL_DIVISOR, Math.min(heapBytes, directBytes) / TOTAL_DIVISOR);
        return new BufferLimits(
                total,
                total / WORKSPACE_DIVISOR,
                total / CALLER_DIVISOR,
                total / SERVER_DIVISOR,
                total / SPOOL_DIVISOR);
    }

    /**
     * Returns the fill of a bound above which no body is read that has not begun, so that those which have begun can be
     * completed.
     *
     * @param bound the bound in bytes
     * @return the fill in bytes
     */
    static long readingMark(long bound) {
        return bound / READING_DENOMINATOR * READING_NUMERATOR;
    }
}
