/** Leased duties: which VM does a job of which the fleet needs exactly one. */
package org.borageproxy.lease;
