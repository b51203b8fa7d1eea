package org.borageproxy.lease;

import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * A time-limited right of a VM to perform a duty. The epoch of a duty increases with each change of holder. The holder
 * must stop before {@code expiresAt} on its own clock. The control group waits longer than that on the clock of its
 * leader before it grants the duty to another VM, so that two holders never overlap. Immutable and thread safe.
 *
 * @param duty the duty
 * @param holder the VM that may perform it
 * @param epoch the fencing token of this tenure
 * @param expiresAt the end of the right, on the monotonic clock of the VM that reads this
 */
public record Lease(Duty duty, VmName holder, long epoch, Deadline expiresAt) {}
