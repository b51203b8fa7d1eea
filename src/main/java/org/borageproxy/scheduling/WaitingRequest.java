package org.borageproxy.scheduling;

/** A request that waits for a server in a {@link WaitingQueue}. Not thread safe; changed by the queue only. */
public final class WaitingRequest {

    private final Lane lane;
    private final RequestCost cost;
    private final String identity;
    private final Runnable retry;
    /** Greater than that of any queued request, so that a request which is not queued goes after its equals. */
    private long sequence = Long.MAX_VALUE;

    private long lastPass;

    /**
     * Requests that the same servers can run, apart from those that each has tried.
     *
     * @param service the service
     * @param model the model; an empty string for a plain service
     * @param adapter the adapter; an empty string for none
     * @param softwareVersion the version of the software that must run the request; an empty string for any
     */
    public record Lane(String service, String model, String adapter, String softwareVersion) {}

    /**
     * Creates a request that is not queued yet.
     *
     * @param lane the lane
     * @param cost the cost of delaying and refusing it
     * @param identity names the request in log lines
     * @param retry searches for a server again, and removes the request from the queue if it finds one
     */
    public WaitingRequest(Lane lane, RequestCost cost, String identity, Runnable retry) {
        this.lane = lane;
        this.cost = cost;
        this.identity = identity;
        this.retry = retry;
    }

    /**
     * Returns the lane.
     *
     * @return the lane
     */
    public Lane lane() {
        return lane;
    }

    /**
     * Returns the cost of delaying and refusing the request.
     *
     * @return the cost
     */
    public RequestCost cost() {
        return cost;
    }

    /**
     * Returns the name of the request in log lines.
     *
     * @return the identity
     */
    public String identity() {
        return identity;
    }

    long sequence() {
        return sequence;
    }

    void setSequence(long assigned) {
        sequence = assigned;
    }

    /** Searches for a server and marks the request as tried in a pass over the queue. */
    void retry(long pass) {
        lastPass = pass;
        retry.run();
    }

    boolean wasTriedIn(long pass) {
        return lastPass == pass;
    }
}
