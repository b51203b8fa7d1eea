package org.borageproxy.experiment;

/** The sizes of the simulated deployments. Immutable and thread safe. */
public enum Deployment {
    /** The deployment of Sahyog Relief Logistics. */
    SAHYOG(30, 90, 13, 5, 16, 128),
    /** The deployment of Kalahari Offcut Traders. */
    KALAHARI(35, 95, 13, 5, 23, 184);

    private final int models;

    private final int adapters;

    private final int replicas;

    private final int workspaces;

    private final int parallelModelLoads;

    private final int parallelAdapterLoads;

    Deployment(
            int models, int adapters, int replicas, int workspaces, int parallelModelLoads, int parallelAdapterLoads) {
        this.models = models;
        this.adapters = adapters;
        this.replicas = replicas;
        this.workspaces = workspaces;
        this.parallelModelLoads = parallelModelLoads;
        this.parallelAdapterLoads = parallelAdapterLoads;
    }

    /**
     * Returns the number of models.
     *
     * @return the number of models
     */
    public int models() {
        return models;
    }

    /**
     * Returns the number of adapters.
     *
     * @return the number of adapters of all models together
     */
    public int adapters() {
        return adapters;
    }

    /**
     * Returns the number of model replicas.
     *
     * @return the number of replicas, each with one accelerator
     */
    public int replicas() {
        return replicas;
    }

    /**
     * Returns the number of workspaces.
     *
     * @return the number of workspaces
     */
    public int workspaces() {
        return workspaces;
    }

    /**
     * Returns the number of models that load in parallel without slowdown.
     *
     * @return the limit for the whole deployment
     */
    public int parallelModelLoads() {
        return parallelModelLoads;
    }

    /**
     * Returns the number of adapters that load in parallel without slowdown.
     *
     * @return the limit for the whole deployment
     */
    public int parallelAdapterLoads() {
        return parallelAdapterLoads;
    }
}
