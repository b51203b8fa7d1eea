package org.borageproxy.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.borageproxy.tree.Adapter;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;
import org.borageproxy.tree.Workspace;

/**
 * A trace of requests generated from a seed. Popularity of models is skewed, each workspace has short bursts, the
 * demand for one model and later for another is ten times as high, and one workspace sends eight times its nominal load
 * during the middle third. Immutable and thread safe.
 *
 * @param deployment the deployment
 * @param configuration the models, adapters and workspaces
 * @param arrivals the requests in order of arrival
 * @param endNanos the end of the arrivals, in nanoseconds of virtual time
 */
record Trace(Deployment deployment, Configuration configuration, List<Arrival> arrivals, long endNanos) {

    /** Virtual time of the first possible arrival; token buckets fill up before. */
    static final long START_NANOS = 20_000_000_000L;

    static final int ENTRY_VM_COUNT = 9;

    /** Nominal arrival rate of all workspaces together, before the factors of bursts and overload apply. */
    private static final double REQUESTS_PER_SECOND = 30;

    /** Ratio of the token rate that a workspace is allowed to its nominal load. */
    private static final double RATE_FACTOR = 1.6;

    /**
     * Capacity of the token bucket of a workspace, as seconds of its rate. A workspace counts as within its rate after
     * this time without a rejection.
     */
    private static final int BURST_SECONDS = 10;

    /** Estimated average tokens of a request, from which the rates of the workspaces follow. */
    private static final int TOKENS_PER_REQUEST = 400;

    /** Ratio of the load of the overloading workspace during the overload to its nominal load. */
    private static final double OVERLOAD_FACTOR = 8;

    /** Ratio of the popularity of a model while demand is shifted to it to its usual popularity. */
    private static final double SHIFT_FACTOR = 10;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final long GIGABYTE = 1_000_000_000L;

    /** Share of each workspace in the requests. */
    private static final double[] WORKSPACE_SHARES = {0.35, 0.30, 0.15, 0.12, 0.08};

    /** Index of the workspace that exceeds its rate. */
    private static final int OVERLOADING_WORKSPACE = 1;

    /**
     * Generates a trace; equal arguments give equal traces.
     *
     * @param seconds the length of the arrivals
     */
    static Trace of(Deployment deployment, long seed, int seconds) {
        Random random = new Random(seed);
        Configuration configuration = configuration(deployment, random);
        List<Arrival> arrivals = new ArrayList<>();
        int shiftedFirst = deployment.models() / 4;
        int shiftedSecond = deployment.models() / 2;
        for (int workspace = 0; workspace < deployment.workspaces(); workspace++) {
            double second = 0;
            double burstEnd = 0;
            while (second < seconds) {
                double progress = second / seconds;
                boolean isBursting = second < burstEnd;
                boolean isOverloading = workspace == OVERLOADING_WORKSPACE && progress > 1.0 / 3 && progress < 2.0 / 3;
                // Bursts last 2 s with 20 s between them on average, so that the factors average to one:
                // (2 * 2.5 + 20 * 0.85) / 22.
                double factor = isOverloading ? OVERLOAD_FACTOR : isBursting ? 2.5 : 0.85;
                double rate = REQUESTS_PER_SECOND * WORKSPACE_SHARES[workspace % WORKSPACE_SHARES.length] * factor;
                double gap = -Math.log(1 - random.nextDouble()) / rate;
                second += gap;
                if (!isBursting && random.nextDouble() < gap / 20) {
                    burstEnd = second + 2;
                }
                int shifted = progress > 0.6 ? shiftedSecond : progress > 0.2 ? shiftedFirst : -1;
                arrivals.add(drawArrival(configuration, workspace, shifted, second, random));
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
        long endNanos = START_NANOS + (long) (seconds * NANOS_PER_SECOND);
        return new Trace(deployment, configuration, markEntitled(configuration, arrivals), endNanos);
    }

    private static Configuration configuration(Deployment deployment, Random random) {
        Map<String, Model> models = new HashMap<>();
        for (int index = 0; index < deployment.models(); index++) {
            long bytes = (6 + random.nextInt(13)) * GIGABYTE;
            String name = "model-" + index;
            models.put(name, new Model(name, bytes, 512, 60_000, List.of(new ModelVersion("1", 1))));
        }
        Map<String, Adapter> adapters = new HashMap<>();
        for (int index = 0; index < deployment.adapters(); index++) {
            String name = "adapter-" + index;
            adapters.put(name, new Adapter(name, "model-" + index % deployment.models(), GIGABYTE / 10));
        }
        Map<String, Workspace> workspaces = new HashMap<>();
        for (int index = 0; index < deployment.workspaces(); index++) {
            String name = "workspace-" + index;
            double use = REQUESTS_PER_SECOND * WORKSPACE_SHARES[index % WORKSPACE_SHARES.length] * TOKENS_PER_REQUEST;
            long rate = (long) (use * RATE_FACTOR);
            workspaces.put(name, new Workspace(name, rate, rate * BURST_SECONDS, 0, Set.of()));
        }
        return new Configuration(1, workspaces, models, adapters, List.of(), Map.of());
    }

    /**
     * Draws a request, not yet marked as entitled.
     *
     * @param shifted the index of the model that demand is shifted to, or a negative number for none
     * @param second the arrival time in seconds from the first possible arrival
     */
    private static Arrival drawArrival(
            Configuration configuration, int workspace, int shifted, double second, Random random) {
        int models = configuration.models().size();
        int model = drawModel(models, shifted, random);
        int adapter = random.nextInt(4);
        int adapterNumber = model + adapter * models;
        boolean adapted = adapterNumber < configuration.adapters().size();
        int prompt = 50 + random.nextInt(300);
        int maximum = 64 + random.nextInt(256);
        int output = maximum / 4 + random.nextInt(maximum * 3 / 4);
        long atNanos = START_NANOS + (long) (second * NANOS_PER_SECOND);
        long allowedNanos = 1_000_000_000L + maximum * 32_000_000L;
        return new Arrival(
                atNanos,
                random.nextInt(ENTRY_VM_COUNT),
                "workspace-" + workspace,
                "model-" + model,
                adapted ? "adapter-" + adapterNumber : "",
                prompt,
                maximum,
                output,
                atNanos + allowedNanos,
                false,
                false);
    }

    /** Draws the index of a model with a probability proportional to its weight. */
    private static int drawModel(int models, int shifted, Random random) {
        double total = 0;
        for (int index = 0; index < models; index++) {
            total += modelWeight(index, shifted);
        }
        double point = random.nextDouble() * total;
        for (int index = 0; index < models; index++) {
            point -= modelWeight(index, shifted);
            if (point < 0) {
                return index;
            }
        }
        return models - 1;
    }

    /** Popularity follows a power law with exponent 0.8. */
    private static double modelWeight(int model, int shifted) {
        return (model == shifted ? SHIFT_FACTOR : 1) / Math.pow(model + 1, 0.8);
    }

    /**
     * Marks the requests that a single token bucket per workspace for the whole fleet would admit. The bucket is
     * charged with the reserved tokens, which are not refunded.
     */
    private static List<Arrival> markEntitled(Configuration configuration, List<Arrival> arrivals) {
        Map<String, Double> levels = new HashMap<>();
        Map<String, Long> changedAt = new HashMap<>();
        Map<String, Long> exceededAt = new HashMap<>();
        List<Arrival> marked = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            Workspace workspace = configuration.workspaces().get(arrival.workspace());
            long changedBefore = changedAt.getOrDefault(arrival.workspace(), arrival.atNanos());
            double accrued = workspace.rateTokensPerSecond() * (arrival.atNanos() - changedBefore) / NANOS_PER_SECOND;
            double capacity = workspace.burstTokens();
            double level = Math.min(capacity, levels.getOrDefault(arrival.workspace(), capacity) + accrued);
            boolean isAdmitted = level >= arrival.reservedTokens();
            levels.put(arrival.workspace(), isAdmitted ? level - arrival.reservedTokens() : level);
            changedAt.put(arrival.workspace(), arrival.atNanos());
            if (!isAdmitted) {
                exceededAt.put(arrival.workspace(), arrival.atNanos());
            }
            long sinceExceededNanos = arrival.atNanos() - exceededAt.getOrDefault(arrival.workspace(), 0L);
            boolean isWithinRate = sinceExceededNanos > BURST_SECONDS * NANOS_PER_SECOND;
            marked.add(withEntitlement(arrival, isAdmitted, isWithinRate));
        }
        return marked;
    }

    private static Arrival withEntitlement(Arrival arrival, boolean isAdmitted, boolean isWithinRate) {
        return new Arrival(
                arrival.atNanos(),
                arrival.entryIndex(),
                arrival.workspace(),
                arrival.model(),
                arrival.adapter(),
                arrival.promptTokens(),
                arrival.maximumOutputTokens(),
                arrival.outputTokens(),
                arrival.deadlineNanos(),
                isAdmitted,
                isWithinRate);
    }
}
