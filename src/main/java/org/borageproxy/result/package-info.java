/** Numbered result codes and the outcomes that callers and operators see. */
package org.borageproxy.result;
