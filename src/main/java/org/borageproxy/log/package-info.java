/** The replicated log of the control group: election, replication, storage and snapshots. */
package org.borageproxy.log;
