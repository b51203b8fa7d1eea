package org.borageproxy.placement;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The durable ledger of orders, kept by the control group. Implementations are safe for use by any thread. */
public interface LedgerStore {

    /**
     * Records an intent before its order is sent; the control group sets the number.
     *
     * @param intent the intent; its number is ignored
     * @return the intent with its number, or empty if a newer epoch holds the placement duty, or a failure
     */
    CompletionStage<Optional<Intent>> record(Intent intent);

    /**
     * Removes intents whose effect is known for certain.
     *
     * @param epoch the epoch of the placement duty
     * @param numbers the numbers of the intents
     * @return completes when the removal is durable, or fails
     */
    CompletionStage<Void> resolve(long epoch, List<Long> numbers);

    /**
     * Reads the open intents as of now, those of earlier owners included.
     *
     * @return the intents in order of their numbers, or a failure
     */
    CompletionStage<List<Intent>> readOpen();
}
