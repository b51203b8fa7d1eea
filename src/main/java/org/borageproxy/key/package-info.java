/** Callers' keys: digests and authentication. */
package org.borageproxy.key;
