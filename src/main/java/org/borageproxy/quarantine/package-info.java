/** What a VM knows for and against requests, and parts of prompts, that are suspected of crashing backend servers. */
package org.borageproxy.quarantine;
