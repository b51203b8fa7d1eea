/** The VMs of the fleet, by name and availability zone. */
package org.borageproxy.vm;
