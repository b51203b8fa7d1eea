/** The pure consensus core of the replicated log: time, messages and completed writes in, typed effects out. */
package org.borageproxy.log.consensus;
