/** Fair queues before the backend servers, and early refusal of what cannot meet its deadline. */
package org.borageproxy.admission;
