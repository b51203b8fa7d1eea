/** Transfers of large contents between VMs in chunks, so that what has arrived once is not sent again. */
package org.borageproxy.transfer;
