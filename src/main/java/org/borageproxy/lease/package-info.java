/** Leases of duties, roles in the fleet that at most one VM performs at a time. */
package org.borageproxy.lease;
