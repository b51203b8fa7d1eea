package org.borageproxy.routing.speed;

/**
 * Collects, on an entry, how much longer than predicted the answers of one server take. Not thread safe; confined to
 * the event loop of the requests.
 */
public final class SlownessMeter {

    private double firstEventSum;
    private int firstEvents;
    private double pauseSum;
    private int pauses;

    /**
     * Records the time to the first event of a stream or to the answer.
     *
     * @param ratio the observed time divided by the one predicted for a server of the speed one
     */
    public void recordFirstEvent(double ratio) {
        if (ratio > 0) {
            firstEventSum += Math.log(ratio);
            firstEvents++;
        }
    }

    /**
     * Records the pause between two events of a stream.
     *
     * @param ratio the observed pause divided by the predicted duration of a decoding step
     */
    public void recordPause(double ratio) {
        if (ratio > 0) {
            pauseSum += Math.log(ratio);
            pauses++;
        }
    }

    /**
     * Returns the samples since the previous call and starts anew.
     *
     * @return the samples; not present if no answer made progress
     */
    public SlownessSample drain() {
        SlownessSample sample = new SlownessSample(
                firstEventSum / Math.max(1, firstEvents), firstEvents, pauseSum / Math.max(1, pauses), pauses);
        firstEventSum = 0;
        firstEvents = 0;
        pauseSum = 0;
        pauses = 0;
        return sample;
    }
}
