/** Events of the VMs and the hybrid logical clock that orders them across the fleet. */
package org.borageproxy.event;
