/** Authenticated messaging between VMs over TCP, with protobuf frames and bodies. */
package org.borageproxy.wire;
