package org.borageproxy.routing;

import java.util.LinkedHashMap;

/**
 * The prompt parts that a backend server has read lately on this VM's requests, the least recently used forgotten
 * first, as engines do. A part counts only behind all parts before it. Not thread safe.
 */
public final class PrefixCacheEstimate {

    private final long mostTokens;
    private final LinkedHashMap<String, Integer> tokensByPath = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;

    /**
     * Creates a memory.
     *
     * @param mostTokens the tokens that the server keeps
     */
    public PrefixCacheEstimate(long mostTokens) {
        this.mostTokens = mostTokens;
    }

    /**
     * Returns how much of a prompt the server has likely kept.
     *
     * @param work the work
     * @return the tokens of the leading parts that were read lately
     */
    public int cachedTokens(EngineWork work) {
        int kept = 0;
        StringBuilder path = weights(work);
        for (EngineWork.PromptPart part : work.promptParts()) {
            path.append('/').append(part.identity());
            if (!tokensByPath.containsKey(path.toString())) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }

    /**
     * Notes that the server reads a prompt.
     *
     * @param work the work
     */
    public void recordPrompt(EngineWork work) {
        StringBuilder path = weights(work);
        for (EngineWork.PromptPart part : work.promptParts()) {
            path.append('/').append(part.identity());
            if (tokensByPath.put(path.toString(), part.tokens()) == null) {
                tokens += part.tokens();
            }
        }
        var eldest = tokensByPath.entrySet().iterator();
        while (tokens > mostTokens && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private static StringBuilder weights(EngineWork work) {
        return new StringBuilder(work.model()).append('+').append(work.adapter());
    }
}
