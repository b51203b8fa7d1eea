/** Fair queueing in front of the backend servers, with early refusal of requests that cannot meet their deadline. */
package org.borageproxy.admission;
