package org.borageproxy.entry;

import org.borageproxy.execution.BackendClients;
import org.borageproxy.execution.EngineWork;
import org.borageproxy.execution.ExecutionServices;

/**
 * What the handlers of one VM share. Immutable; its parts are safe for use by any thread.
 *
 * @param settings the settings
 * @param dependencies the other parts of the VM
 * @param services what the execution of requests needs
 * @param clients the HTTP clients towards backend servers
 * @param engineTools what the work on models needs
 */
record EntryParts(
        EntrySettings settings,
        EntryDependencies dependencies,
        ExecutionServices services,
        BackendClients clients,
        EngineWork.Tools engineTools) {}
