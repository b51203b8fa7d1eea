/** Execution of requests: claims, attempts, outcomes and retries. */
package org.borageproxy.execution;
