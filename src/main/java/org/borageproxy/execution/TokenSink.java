package org.borageproxy.execution;

/** Receives the tokens of a response in order, each once. Implementations are confined to the request's event loop. */
public interface TokenSink {

    /**
     * Appends a token to the response.
     *
     * @param text the text of the token
     */
    void write(String text);

    /**
     * Returns whether tokens are sent to the caller as they arrive.
     *
     * @return {@code true} if the caller has received the tokens written so far
     */
    boolean isStreaming();

    /**
     * Returns whether the caller reads slower than tokens arrive.
     *
     * @return {@code true} if the writer should pause
     */
    boolean isFull();

    /**
     * Registers an action for the time when the sink is no longer full.
     *
     * @param action the action, run once
     */
    void onDrain(Runnable action);
}
