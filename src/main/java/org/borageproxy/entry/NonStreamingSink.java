package org.borageproxy.entry;

import org.borageproxy.execution.TokenSink;

/** Ignores tokens of a response that is sent as a whole; the task keeps them. Stateless and thread safe. */
enum NonStreamingSink implements TokenSink {
    /** The singleton instance. */
    INSTANCE;

    @Override
    public void write(String text) {
        // The task keeps the text until the response is complete.
    }

    @Override
    public boolean isStreaming() {
        return false;
    }

    @Override
    public boolean isFull() {
        return false;
    }

    @Override
    public void onDrain(Runnable action) {
        action.run();
    }
}
