package org.borageproxy.forward;

import java.util.Optional;
import java.util.function.Consumer;

/** Suspects of which none is quarantined. */
public interface NeverQuarantined extends SuspectRequests {

    @Override
    default boolean isQuarantined(CrashSuspects suspects) {
        return false;
    }

    @Override
    default void requestTrial(CrashSuspects suspects, Consumer<Optional<SuspectTrial>> listener) {
        listener.accept(Optional.empty());
    }

    @Override
    default void giveBack(SuspectTrial trial) {}
}
