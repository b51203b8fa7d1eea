package org.borageproxy.control;

import org.borageproxy.time.Deadline;

/**
 * Answer of the control group to a request of a trial. Immutable and thread safe.
 *
 * @param isGranted whether the request may be sent once
 * @param askAgainAt the earliest time at which another request of a trial can be granted
 */
public record TrialDecision(boolean isGranted, Deadline askAgainAt) {}
