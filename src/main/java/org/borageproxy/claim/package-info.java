/** Claims of models and adapters that callers asked for and that have not been served yet. */
package org.borageproxy.claim;
