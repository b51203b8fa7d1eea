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
 * A seeded trace of a deployment: skewed popularity of models, short bursts of each workspace, tenfold shifts of demand
 * for two models, and one workspace that sends eight times as much for a third of the time. Immutable and thread safe.
 *
 * @param deployment the deployment
 * @param configuration the models, adapters and workspaces
 * @param arrivals the requests in order of time
 * @param endNanos when the last request has come
 */
record Trace(Deployment deployment, Configuration configuration, List<Arrival> arrivals, long endNanos) {

    /** When the first request comes; before, buckets fill up. */
    static final long START_NANOS = 20_000_000_000L;

    /** The entry VMs. */
    static final int ENTRIES = 9;

    /** Requests that come each second when no workspace bursts. */
    private static final double REQUESTS_PER_SECOND = 30;

    /** The rate of a workspace as a multiple of its average use. */
    private static final double RATE_MARGIN = 1.6;

    /** The burst of a workspace in seconds of its rate. */
    private static final int BURST_SECONDS = 10;

    /** The average tokens of a request. */
    private static final int AVERAGE_TOKENS = 400;

    /** The factor of the workspace that sends too much. */
    private static final double FLOOD_FACTOR = 8;

    /** The factor of the models whose demand shifts. */
    private static final double SHIFT_FACTOR = 10;

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Bytes in a gigabyte. */
    private static final long GIGABYTE = 1_000_000_000L;

    /** The share of each workspace in the requests. */
    private static final double[] SHARES = {0.35, 0.30, 0.15, 0.12, 0.08};

    /** The workspace that sends too much. */
    private static final int FLOODING = 1;

    /**
     * Generates a trace.
     *
     * @param deployment the deployment
     * @param seed the seed
     * @param seconds the length
     * @return the trace
     */
    static Trace of(Deployment deployment, long seed, int seconds) {
        Random random = new Random(seed);
        Configuration configuration = configuration(deployment, random);
        List<Arrival> arrivals = new ArrayList<>();
        int shiftedFirst = deployment.models() / 4;
        int shiftedSecond = deployment.models() / 2;
        for (int workspace = 0; workspace < deployment.workspaces(); workspace++) {
            double second = 0;
            double burstEnds = 0;
            while (second < seconds) {
                double part = second / seconds;
                boolean bursting = second < burstEnds;
                boolean flooding = workspace == FLOODING && part > 1.0 / 3 && part < 2.0 / 3;
                double factor = flooding ? FLOOD_FACTOR : bursting ? 2.5 : 0.85;
                double rate = REQUESTS_PER_SECOND * SHARES[workspace % SHARES.length] * factor;
                double gap = -Math.log(1 - random.nextDouble()) / rate;
                second += gap;
                if (!bursting && random.nextDouble() < gap / 20) {
                    burstEnds = second + 2;
                }
                int shifted = part > 0.6 ? shiftedSecond : part > 0.2 ? shiftedFirst : -1;
                arrivals.add(arrival(configuration, workspace, shifted, second, random));
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
        long endNanos = START_NANOS + (long) (seconds * NANOS_PER_SECOND);
        return new Trace(deployment, configuration, entitled(configuration, arrivals), endNanos);
    }

    /**
     * Generates the models, adapters and workspaces of a deployment.
     *
     * @param deployment the deployment
     * @param random the source of randomness
     * @return the configuration
     */
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
            double use = REQUESTS_PER_SECOND * SHARES[index % SHARES.length] * AVERAGE_TOKENS;
            long rate = (long) (use * RATE_MARGIN);
            workspaces.put(name, new Workspace(name, rate, rate * BURST_SECONDS, 0, Set.of()));
        }
        return new Configuration(1, workspaces, models, adapters, List.of(), Map.of());
    }

    /**
     * Generates a request.
     *
     * @param configuration the configuration
     * @param workspace the workspace's number
     * @param shifted the number of the model whose demand is tenfold, or a negative number
     * @param second when it comes, from the start of the trace
     * @param random the source of randomness
     * @return the request
     */
    private static Arrival arrival(
            Configuration configuration, int workspace, int shifted, double second, Random random) {
        int models = configuration.models().size();
        int model = model(models, shifted, random);
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
                random.nextInt(ENTRIES),
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

    /**
     * Draws a model by a skewed popularity.
     *
     * @param models the number of models
     * @param shifted the number of the model whose demand is tenfold, or a negative number
     * @param random the source of randomness
     * @return the model's number
     */
    private static int model(int models, int shifted, Random random) {
        double total = 0;
        for (int index = 0; index < models; index++) {
            total += weight(index, shifted);
        }
        double point = random.nextDouble() * total;
        for (int index = 0; index < models; index++) {
            point -= weight(index, shifted);
            if (point < 0) {
                return index;
            }
        }
        return models - 1;
    }

    /**
     * Returns the weight of a model in the draw.
     *
     * @param model the model's number
     * @param shifted the number of the model whose demand is tenfold
     * @return the weight
     */
    private static double weight(int model, int shifted) {
        return (model == shifted ? SHIFT_FACTOR : 1) / Math.pow(model + 1, 0.8);
    }

    /**
     * Marks the requests that one bucket for the whole fleet would admit, charged with what they reserve.
     *
     * @param configuration the workspaces
     * @param arrivals the requests in order of time
     * @return the marked requests
     */
    private static List<Arrival> entitled(Configuration configuration, List<Arrival> arrivals) {
        Map<String, Double> levels = new HashMap<>();
        Map<String, Long> changedAt = new HashMap<>();
        Map<String, Long> exceededAt = new HashMap<>();
        List<Arrival> marked = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            Workspace workspace = configuration.workspaces().get(arrival.workspace());
            long before = changedAt.getOrDefault(arrival.workspace(), arrival.atNanos());
            double accrued = workspace.rateTokensPerSecond() * (arrival.atNanos() - before) / NANOS_PER_SECOND;
            double full = workspace.burstTokens();
            double level = Math.min(full, levels.getOrDefault(arrival.workspace(), full) + accrued);
            boolean admitted = level >= arrival.reservedTokens();
            levels.put(arrival.workspace(), admitted ? level - arrival.reservedTokens() : level);
            changedAt.put(arrival.workspace(), arrival.atNanos());
            if (!admitted) {
                exceededAt.put(arrival.workspace(), arrival.atNanos());
            }
            long quietNanos = arrival.atNanos() - exceededAt.getOrDefault(arrival.workspace(), 0L);
            boolean within = quietNanos > BURST_SECONDS * NANOS_PER_SECOND;
            marked.add(withEntitlement(arrival, admitted, within));
        }
        return marked;
    }

    /**
     * Returns a request with its mark.
     *
     * @param arrival the request
     * @param admitted whether the bucket admits it
     * @param within whether the bucket admitted all lately
     * @return the marked request
     */
    private static Arrival withEntitlement(Arrival arrival, boolean admitted, boolean within) {
        return new Arrival(
                arrival.atNanos(),
                arrival.entry(),
                arrival.workspace(),
                arrival.model(),
                arrival.adapter(),
                arrival.promptTokens(),
                arrival.maximumOutputTokens(),
                arrival.outputTokens(),
                arrival.deadlineNanos(),
                admitted,
                within);
    }
}
