package org.borageproxy.placement;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Durable storage of the intents of orders, kept by the control group. Implementations are thread safe. */
public interface LedgerStore {

    /**
     * Records an intent before its order is sent. The control group assigns the number.
     *
     * @param intent the intent; its number is ignored
     * @return the numbered intent; empty if a newer epoch holds the placement duty; fails if the outcome is unknown
     */
    CompletionStage<Optional<Intent>> record(Intent intent);

    /**
     * Removes intents whose effect is certain.
     *
     * @param epoch the epoch of the placement duty
     * @param numbers the numbers of the intents
     * @return completes when the removal is durable, or fails
     */
    CompletionStage<Void> resolve(long epoch, List<Long> numbers);

    /**
     * Reads the current open intents, including those of earlier placement owners.
     *
     * @return the intents sorted by number, or a failure
     */
    CompletionStage<List<Intent>> readOpen();
}
