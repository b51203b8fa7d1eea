/**
 * The consensus core of the replicated log, which performs no I/O: it maps messages, requests, completed writes and the
 * passing of time to effects.
 */
package org.borageproxy.log.consensus;
