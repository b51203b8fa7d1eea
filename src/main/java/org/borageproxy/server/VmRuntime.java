package org.borageproxy.server;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.borageproxy.control.Timer;
import org.borageproxy.event.HybridClock;
import org.borageproxy.event.TimeLine;
import org.borageproxy.settings.ProcessSettings;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.NettyVmNetwork;
import org.borageproxy.wire.PeerCredential;

/**
 * Resources that all roles of a VM share: clock, event loops, scheduler, network between VMs, time line and metrics.
 * Immutable; the components are thread safe.
 *
 * @param settings the settings of the process
 * @param clock the monotonic clock
 * @param timeLine the events of this process
 * @param vertx the event loops
 * @param scheduler runs short tasks after a delay
 * @param directory the addresses of all VMs
 * @param network the network between VMs
 * @param metrics the metrics registry
 */
record VmRuntime(
        ProcessSettings settings,
        MonotonicClock clock,
        TimeLine timeLine,
        Vertx vertx,
        ScheduledExecutorService scheduler,
        FleetDirectory directory,
        NettyVmNetwork network,
        PrometheusMeterRegistry metrics) {

    private static final int EVENT_LOOP_COUNT = 2;
    private static final int SCHEDULER_THREAD_COUNT = 2;
    private static final int BLOCKING_THREAD_COUNT = 2;

    /**
     * Creates the resources and starts their threads. The network does not listen yet.
     *
     * @param settings the settings of the process
     * @return the resources, to be closed by the caller
     */
    static VmRuntime of(ProcessSettings settings) {
        MonotonicClock clock = MonotonicClock.ofSystem();
        HybridClock hybridClock = new HybridClock(InstantSource.system());
        VmAddress self = settings.vm();
        FleetDirectory directory = new FleetDirectory(self, settings.controlVms());
        PeerCredential credential = PeerCredential.of(settings.credentials().interVm());
        NettyVmNetwork network = new NettyVmNetwork(self.name(), directory, credential, hybridClock, clock);
        return new VmRuntime(
                settings,
                clock,
                new TimeLine(self.name(), self.zone(), hybridClock),
                Vertx.vertx(vertxOptions()),
                createScheduler(),
                directory,
                network,
                new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }

    /**
     * Returns the name of this VM.
     *
     * @return the name
     */
    VmName self() {
        return settings.vm().name();
    }

    /**
     * Returns the names of the VMs of the control group.
     *
     * @return the names in the order of the settings
     */
    List<VmName> controlVms() {
        return settings.controlVms().stream().map(VmAddress::name).toList();
    }

    /**
     * Returns a timer for the clients of the control group.
     *
     * @return a timer that runs its tasks on the scheduler
     */
    Timer timer() {
        return Timer.of(scheduler);
    }

    /** Stops the threads and closes the connections. Pending tasks of the scheduler are discarded. */
    void close() {
        scheduler.shutdownNow();
        network.close();
        vertx.close();
    }

    /** Sizes the thread pools for a small VM. */
    private static VertxOptions vertxOptions() {
        return new VertxOptions()
                .setEventLoopPoolSize(EVENT_LOOP_COUNT)
                .setWorkerPoolSize(BLOCKING_THREAD_COUNT)
                .setInternalBlockingPoolSize(BLOCKING_THREAD_COUNT);
    }

    /** Creates a scheduler that removes a cancelled task at once instead of keeping it until it is due. */
    private static ScheduledExecutorService createScheduler() {
        ScheduledThreadPoolExecutor executor =
                (ScheduledThreadPoolExecutor) Executors.newScheduledThreadPool(SCHEDULER_THREAD_COUNT);
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }
}
