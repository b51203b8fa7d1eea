/** Whether a backend server still runs, as far as an answer depends on it. */
package org.borageproxy.liveness;
