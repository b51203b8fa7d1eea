/** Detection of VMs that are short of CPU time or link capacity, and their withdrawal from the load balancer. */
package org.borageproxy.saturation;
