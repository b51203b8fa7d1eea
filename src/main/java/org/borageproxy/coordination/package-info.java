/** State that VMs share through one coordinator: requests in flight, workspace rates and loaded models. */
package org.borageproxy.coordination;
