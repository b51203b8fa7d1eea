package org.borageproxy.spread;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.wire.proto.ControlProtocol.CrashState;
import org.borageproxy.wire.proto.ControlProtocol.Item;

/** The published suspicions of requests and parts of prompts, at one version. Immutable and thread safe. */
public final class WatchedSuspicions {

    /** The records by fingerprint. */
    private final Map<String, Item> items;

    private final Set<Fingerprint> unvouchedParts;

    private WatchedSuspicions(Map<String, Item> items) {
        this.items = items;
        this.unvouchedParts = items.values().stream()
                .map(Item::getCrash)
                .filter(crash -> crash.getPart() && crash.getTestedUntilMillis() == 0)
                .map(crash -> new Fingerprint(crash.getFingerprint()))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the suspicions among watched records. */
    static WatchedSuspicions among(Collection<Item> items) {
        return new WatchedSuspicions(items.stream()
                .filter(Item::hasCrash)
                .collect(Collectors.toUnmodifiableMap(item -> item.getCrash().getFingerprint(), Function.identity())));
    }

    /**
     * Returns the suspicion of a request or part.
     *
     * @param fingerprint its fingerprint
     * @return the suspicion
     */
    public Suspicion of(Fingerprint fingerprint) {
        return Optional.ofNullable(items.get(fingerprint.value()))
                .map(Item::getCrash)
                .map(WatchedSuspicions::suspicionOf)
                .orElse(Suspicion.NONE);
    }

    private static Suspicion suspicionOf(CrashState crash) {
        return crash.getQuarantined() ? Suspicion.QUARANTINED : Suspicion.SUSPECT;
    }

    /**
     * Returns the version of the state at which a suspicion was published last.
     *
     * @param fingerprint the fingerprint of the request or part
     * @return the version, zero without a published suspicion
     */
    public long versionOf(Fingerprint fingerprint) {
        return Optional.ofNullable(items.get(fingerprint.value()))
                .map(Item::getVersion)
                .orElse(0L);
    }

    /**
     * Returns the suspected parts of prompts for which no VM has vouched.
     *
     * @return their fingerprints
     */
    public Set<Fingerprint> unvouchedParts() {
        return unvouchedParts;
    }
}
