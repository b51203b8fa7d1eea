/**
 * Compares the production policies with simple baselines on generated traces, over emulated engines in virtual time.
 */
package org.borageproxy.experiment;
