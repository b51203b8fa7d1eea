/** Backend servers as they announce themselves, and what is known of each. */
package org.borageproxy.membership;
