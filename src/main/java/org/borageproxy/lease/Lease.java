package org.borageproxy.lease;

import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * The right of a VM to do a duty. Epochs of one duty rise with each change of holder. The holder stops before
 * {@code expiresAt} on its own clock; the control group gives the duty to another VM only after a longer time on the
 * leader's clock. Immutable and thread safe.
 *
 * @param duty the duty
 * @param holder the VM that does it
 * @param epoch the fencing number
 * @param expiresAt when the holder must have stopped, on the clock of the VM that reads this
 */
public record Lease(Duty duty, VmName holder, long epoch, Deadline expiresAt) {}
