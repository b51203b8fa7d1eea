package org.borageproxy.entry;

import org.borageproxy.execution.TokenSink;

/** Takes tokens of an answer that the caller gets as a whole; the work keeps them. Stateless and thread safe. */
enum NonStreamingSink implements TokenSink {
    /** The only sink. */
    INSTANCE;

    @Override
    public void write(String text) {
        // The work keeps the text until the answer is whole.
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
