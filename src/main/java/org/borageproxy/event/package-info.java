/** Events of every process, ordered over all VMs by a hybrid logical clock. */
package org.borageproxy.event;
