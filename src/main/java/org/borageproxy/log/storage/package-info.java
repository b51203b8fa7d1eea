/** The files of a member of the control group: identity, vote, segments of the log, and snapshots. */
package org.borageproxy.log.storage;
