/** Workspaces' rates and bursts, in tokens, over all VMs. */
package org.borageproxy.quota;
