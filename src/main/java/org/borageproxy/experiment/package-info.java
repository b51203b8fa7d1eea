/** Compares the real decisions with simple baselines on seeded traces, over an emulation of engine timing. */
package org.borageproxy.experiment;
