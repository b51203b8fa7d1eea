package org.borageproxy.experiment;

/** The sizes of the deployments whose traces are generated. */
public enum Deployment {
    /** The deployment of Sahyog Relief Logistics. */
    SAHYOG(30, 90, 13, 5, 16, 128),
    /** The deployment of Kalahari Offcut Traders. */
    KALAHARI(35, 95, 13, 5, 23, 184);

    /** The number of models. */
    private final int models;

    /** The number of adapters. */
    private final int adapters;

    /** The number of model replicas, each with one accelerator. */
    private final int replicas;

    /** The number of workspaces. */
    private final int workspaces;

    /** The loads that the weight store serves at once at full speed. */
    private final int parallelModelLoads;

    /** The adapters that load at once at full speed. */
    private final int parallelAdapterLoads;

    /**
     * Creates a deployment.
     *
     * @param models the number of models
     * @param adapters the number of adapters
     * @param replicas the number of model replicas
     * @param workspaces the number of workspaces
     * @param parallelModelLoads the loads of models at once at full speed
     * @param parallelAdapterLoads the loads of adapters at once at full speed
     */
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
     * @return the number
     */
    public int models() {
        return models;
    }

    /**
     * Returns the number of adapters.
     *
     * @return the number
     */
    public int adapters() {
        return adapters;
    }

    /**
     * Returns the number of model replicas.
     *
     * @return the number
     */
    public int replicas() {
        return replicas;
    }

    /**
     * Returns the number of workspaces.
     *
     * @return the number
     */
    public int workspaces() {
        return workspaces;
    }

    /**
     * Returns the loads of models that run at once at full speed.
     *
     * @return the number
     */
    public int parallelModelLoads() {
        return parallelModelLoads;
    }

    /**
     * Returns the loads of adapters that run at once at full speed.
     *
     * @return the number
     */
    public int parallelAdapterLoads() {
        return parallelAdapterLoads;
    }
}
