/** The control group's state machine, the service in front of it and its clients on every VM. */
package org.borageproxy.control;
