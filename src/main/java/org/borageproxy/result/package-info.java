/** Result codes and execution outcomes that are reported to callers and operators. */
package org.borageproxy.result;
