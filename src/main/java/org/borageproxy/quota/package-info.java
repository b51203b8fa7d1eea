/**
 * Token rate limits of workspaces, enforced over all VMs.
 *
 * <p>There are two implementations. In {@link org.borageproxy.quota.FleetQuota}, workspaces are hashed into shards and
 * each shard is owned by one VM under a lease. The owner keeps the token buckets and grants credit, with a limited
 * lifetime, to the entries: the VMs that admit callers' requests. In {@link org.borageproxy.quota.RateShares} and
 * {@link org.borageproxy.quota.RateSplitter}, one coordinator grants tokens to the entries and divides each rate into
 * shares, which entries spend while they cannot reach the coordinator.
 */
package org.borageproxy.quota;
