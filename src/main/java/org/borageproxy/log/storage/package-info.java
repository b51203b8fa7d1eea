/** The storage of a member of the control group on disk: identity, term and vote, log segments, and snapshots. */
package org.borageproxy.log.storage;
