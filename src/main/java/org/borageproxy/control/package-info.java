/** State machine of the control group, the service that accepts commands for it, and its clients on every VM. */
package org.borageproxy.control;
