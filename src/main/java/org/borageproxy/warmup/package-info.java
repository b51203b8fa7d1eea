/** Limits on the requests to backend servers that have started or become cold a short time ago. */
package org.borageproxy.warmup;
