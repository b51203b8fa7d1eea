/** What the VMs share through one coordinator: work in flight, rates of workspaces, models in place. */
package org.borageproxy.coordination;
