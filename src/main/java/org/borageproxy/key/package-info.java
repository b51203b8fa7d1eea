/** Keys of callers: digests and authentication. */
package org.borageproxy.key;
