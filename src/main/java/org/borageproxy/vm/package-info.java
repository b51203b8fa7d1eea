/** Names, availability zones and addresses of the VMs of the fleet. */
package org.borageproxy.vm;
