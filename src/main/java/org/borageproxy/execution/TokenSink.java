package org.borageproxy.execution;

/** Takes the tokens of an answer in order, each once. Implementations are confined to the request's event loop. */
public interface TokenSink {

    /**
     * Takes a token.
     *
     * @param text the token's text
     */
    void write(String text);

    /**
     * Tells whether tokens reach the caller as they arrive.
     *
     * @return {@code true} if the caller has received the tokens so far
     */
    boolean isStreaming();

    /**
     * Tells whether the caller reads slower than tokens arrive.
     *
     * @return {@code true} if no token should be added now
     */
    boolean isFull();

    /**
     * Registers what happens once there is room again.
     *
     * @param action the action, run once
     */
    void onDrain(Runnable action);
}
