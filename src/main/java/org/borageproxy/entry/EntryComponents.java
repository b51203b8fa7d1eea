package org.borageproxy.entry;

import org.borageproxy.execution.BackendClients;
import org.borageproxy.execution.EngineTask;
import org.borageproxy.execution.ExecutionDependencies;

/**
 * The components that the handlers of one VM share. Immutable; its components are thread safe.
 *
 * @param settings the settings
 * @param dependencies the dependencies on other parts of the VM
 * @param executionDependencies the dependencies of request execution
 * @param clients the HTTP clients for backend servers
 * @param engineDependencies the dependencies of tasks on models
 */
record EntryComponents(
        EntrySettings settings,
        EntryDependencies dependencies,
        ExecutionDependencies executionDependencies,
        BackendClients clients,
        EngineTask.Dependencies engineDependencies) {}
