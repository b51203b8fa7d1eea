/** Messages between the product's own processes: Netty frames with protobuf bodies. */
package org.borageproxy.wire;
