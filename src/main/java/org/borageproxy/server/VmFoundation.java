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
 * What every role of a VM stands on: clocks, event loops, timers, messages between VMs, the time line and metrics.
 * Immutable; its parts are safe for use by any thread.
 *
 * @param settings the settings of the process
 * @param clock the monotonic clock
 * @param timeLine the events of this process
 * @param vertx the event loops
 * @param timers runs short tasks later
 * @param directory the addresses of all VMs
 * @param network messages between VMs
 * @param metrics the metrics
 */
record VmFoundation(
        ProcessSettings settings,
        MonotonicClock clock,
        TimeLine timeLine,
        Vertx vertx,
        ScheduledExecutorService timers,
        FleetDirectory directory,
        NettyVmNetwork network,
        PrometheusMeterRegistry metrics) {

    /** The number of event loops. */
    private static final int EVENT_LOOPS = 2;
    /** The number of threads that run timers. */
    private static final int TIMER_THREADS = 2;
    /** The number of threads for work that blocks. */
    private static final int BLOCKING_THREADS = 2;

    /**
     * Creates the foundation and listens for other VMs.
     *
     * @param settings the settings of the process
     * @return the foundation
     */
    static VmFoundation of(ProcessSettings settings) {
        MonotonicClock clock = MonotonicClock.ofSystem();
        HybridClock hybridClock = new HybridClock(InstantSource.system());
        VmAddress self = settings.vm();
        FleetDirectory directory = new FleetDirectory(self, settings.controlVms());
        PeerCredential credential = PeerCredential.of(settings.credentials().vms());
        NettyVmNetwork network = new NettyVmNetwork(self.name(), directory, credential, hybridClock, clock);
        return new VmFoundation(
                settings,
                clock,
                new TimeLine(self.name(), self.zone(), hybridClock),
                Vertx.vertx(vertxOptions()),
                timerExecutor(),
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
     * @return the names
     */
    List<VmName> controlVms() {
        return settings.controlVms().stream().map(VmAddress::name).toList();
    }

    /**
     * Returns a timer for the clients of the control group.
     *
     * @return the timer
     */
    Timer timer() {
        return Timer.of(timers);
    }

    /** Ends the threads and connections. */
    void close() {
        timers.shutdownNow();
        network.close();
        vertx.close();
    }

    /**
     * Returns options for a small VM.
     *
     * @return the options
     */
    private static VertxOptions vertxOptions() {
        return new VertxOptions()
                .setEventLoopPoolSize(EVENT_LOOPS)
                .setWorkerPoolSize(BLOCKING_THREADS)
                .setInternalBlockingPoolSize(BLOCKING_THREADS);
    }

    /**
     * Returns an executor whose cancelled tasks leave at once.
     *
     * @return the executor
     */
    private static ScheduledExecutorService timerExecutor() {
        ScheduledThreadPoolExecutor executor =
                (ScheduledThreadPoolExecutor) Executors.newScheduledThreadPool(TIMER_THREADS);
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }
}
