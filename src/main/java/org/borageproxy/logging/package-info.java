/** The bounded log queue of a process, and the selection of log lines that concern one request. */
package org.borageproxy.logging;
