package org.borageproxy.entry;

import org.borageproxy.execution.BackendClients;
import org.borageproxy.execution.EngineTask;
import org.borageproxy.execution.ExecutionDependencies;

/**
 * What the handlers of one VM share. Immutable; its parts are safe for use by any thread.
 *
 * @param settings the settings
 * @param dependencies the other parts of the VM
 * @param executionDependencies what the execution of requests needs
 * @param clients the HTTP clients towards backend servers
 * @param engineDependencies what the work on models needs
 */
record EntryComponents(
        EntrySettings settings,
        EntryDependencies dependencies,
        ExecutionDependencies executionDependencies,
        BackendClients clients,
        EngineTask.Dependencies engineDependencies) {}
