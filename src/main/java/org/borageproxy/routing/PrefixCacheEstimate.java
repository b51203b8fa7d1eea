package org.borageproxy.routing;

import java.util.LinkedHashMap;

/**
 * Estimate of the prefix cache of one backend server, from the prompts that were sent to it. Evicts the least recently
 * used parts first, as engines do. A part is a hit only if all parts before it are. Not thread safe.
 */
public final class PrefixCacheEstimate {

    private final long maximumTokens;
    private final LinkedHashMap<String, Integer> tokensByPath = new LinkedHashMap<>(16, 0.75f, true);
    private long storedTokens;

    /**
     * Creates an empty estimate.
     *
     * @param maximumTokens the capacity of the server's cache in tokens
     */
    public PrefixCacheEstimate(long maximumTokens) {
        this.maximumTokens = maximumTokens;
    }

    /**
     * Estimates how much of a prompt is cached.
     *
     * @param work the work
     * @return the tokens of the leading parts that are cached; zero if the first part is not
     */
    public int cachedTokens(EngineWork work) {
        int cached = 0;
        StringBuilder path = rootPath(work);
        for (EngineWork.PromptPart part : work.promptParts()) {
            path.append('/').append(part.identity());
            if (!tokensByPath.containsKey(path.toString())) {
                break;
            }
            cached += part.tokens();
        }
        return cached;
    }

    /**
     * Records that the server processes a prompt.
     *
     * @param work the work
     */
    public void recordPrompt(EngineWork work) {
        StringBuilder path = rootPath(work);
        for (EngineWork.PromptPart part : work.promptParts()) {
            path.append('/').append(part.identity());
            if (tokensByPath.put(path.toString(), part.tokens()) == null) {
                storedTokens += part.tokens();
            }
        }
        var eldest = tokensByPath.entrySet().iterator();
        while (storedTokens > maximumTokens && eldest.hasNext()) {
            storedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private static StringBuilder rootPath(EngineWork work) {
        return new StringBuilder(work.model()).append('+').append(work.adapter());
    }
}
