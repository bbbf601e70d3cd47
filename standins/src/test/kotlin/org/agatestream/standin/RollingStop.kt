package org.agatestream.standin

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.agatestream.core.MonotonicTime
import java.io.File
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A SIGTERM of the VM with the caller address [address]. */
internal class PlannedStop(
    val address: String,
    val at: MonotonicTime,
)

/** Planned stops of pairs of VMs, one pair after the other, under streams of many callers. */
internal class RollingStop(
    private val seed: Long,
    private val strains: Set<StopStrain> = emptySet(),
) {
    private val random = Random(seed)
    private val requestTimeout = if (StopStrain.LONG_TIMEOUTS in strains) LONG_TIMEOUT else REQUEST_TIMEOUT
    private val servers =
        STREAM_EVENTS.mapIndexed { index, events ->
            val eventBytes = if (StopStrain.LARGE_EVENTS in strains) LARGE_EVENT_BYTES else 0
            PlatformServerStandIn("i-$index", events, EVENT_INTERVAL, eventBytes = eventBytes)
        }
    private val manifests = StopManifests(requestTimeout)
    private val fleet =
        FleetProcesses(
            names = List(if (StopStrain.MANY_VMS in strains) VMS * 2 else VMS) { "vm-$it" },
            servers = servers,
            manifest = manifests.first(),
            directory = File("target/rolling-stop/${(strains.map { it.name } + "$seed").joinToString("-")}"),
        )
    private val stops = ArrayList<PlannedStop>()
    private val killed = ArrayList<String>()

    /** Runs the stops and returns what callers saw. */
    suspend fun run(): StopReport =
        fleet.use {
            fleet.start()
            val entries = fleet.vms.map { it.config.entryAddress }
            val callers = List(CALLERS) { StreamCaller(it, entries, requestTimeout, seed, strains) }
            val until = MonotonicTime.now() + TRAFFIC
            val threads = callers.map { thread(isDaemon = true) { it.run(until) } }
            val jobs = JobCaller(entries).takeIf { StopStrain.JOBS in strains }
            val beside = beside(until, jobs)
            delay(LEAD)
            repeat(PAIRS) { if (StopStrain.COORDINATORS in strains) stopCoordinators() else stopPair() }
            threads.forEach { it.join() }
            beside.forEach { it.join() }
            StopReport(
                callers.flatMap { it.requests },
                servers,
                stops,
                killed,
                requestTimeout,
                jobs?.unlisted.orEmpty(),
            )
        }

    private fun beside(
        until: MonotonicTime,
        jobs: JobCaller?,
    ): List<Thread> {
        val tasks = ArrayList<() -> Unit>()
        if (jobs != null) tasks += { jobs.run(until) }
        if (StopStrain.BUSY in strains) {
            repeat(BUSY_THREADS) { tasks += { while (MonotonicTime.now() < until) Thread.onSpinWait() } }
        }
        if (StopStrain.MANIFESTS in strains) {
            tasks += {
                while (MonotonicTime.now() < until) {
                    Thread.sleep(MANIFEST_MILLIS)
                    fleet.store.put("op", "config", manifests.next())
                }
            }
        }
        return tasks.map { task -> thread(isDaemon = true) { task() } }
    }

    private suspend fun stopCoordinators() {
        val first = fleet.coordinator() ?: return
        coroutineScope {
            val stopped = async { stop(first, Duration.ZERO) }
            while (fleet.coordinator().let { it == null || it === first }) delay(POLL_INTERVAL)
            stop(checkNotNull(fleet.coordinator()), Duration.ZERO)
            stopped.await()
        }
    }

    private suspend fun stopPair() {
        val first = fleet.coordinator() ?: fleet.vms.random(random)
        val second = fleet.vms.filter { it !== first }.random(random)
        val pair = listOf(first, second).shuffled(random)
        coroutineScope {
            pair.mapIndexed { index, vm -> async { stop(vm, PAIR_GAP * index) } }.awaitAll()
        }
    }

    private suspend fun stop(
        vm: FleetProcesses.Vm,
        after: Duration,
    ) {
        delay(after)
        stopAndStart(vm)
        if (StopStrain.SECOND_STOP in strains) {
            delay(SECOND_STOP_DELAY)
            stopAndStart(vm)
        }
    }

    private suspend fun stopAndStart(vm: FleetProcesses.Vm) {
        val at = MonotonicTime.now()
        stops += PlannedStop(vm.config.callerAddress, at)
        vm.process.stop()
        for (moment in DISTURBED_AT) {
            while (MonotonicTime.now() - at < moment) delay(POLL_INTERVAL)
            disturb(vm)
        }
        while (vm.process.isAlive) {
            if (MonotonicTime.now() - at >= FleetProcesses.GRACE) {
                killed += vm.config.name
                vm.process.killAndWait()
            }
            delay(POLL_INTERVAL)
        }
        delay(RESTART_DELAY)
        fleet.start(vm)
        while (!fleet.isReady(vm)) delay(POLL_INTERVAL)
    }

    private suspend fun disturb(vm: FleetProcesses.Vm) {
        if (StopStrain.SIGNALS in strains && vm.process.isAlive) {
            vm.process.stop()
            vm.process.hangUp()
        }
        if (StopStrain.PAUSES in strains) {
            vm.process.freeze()
            delay(PAUSE)
            vm.process.resume()
        }
    }

    companion object {
        /** The longest that a request may take, at its caller and by its route. */
        val REQUEST_TIMEOUT = 5.seconds
        private val LONG_TIMEOUT = 12.seconds
        private const val LARGE_EVENT_BYTES = 16_384
        private const val BUSY_THREADS = 6
        private const val MANIFEST_MILLIS = 1_000L
        private val SECOND_STOP_DELAY = 1.seconds
        private val DISTURBED_AT = listOf(1.seconds, 3.seconds, 5.seconds)
        private val PAUSE = 300.milliseconds
        private const val VMS = 6
        private const val CALLERS = 60
        private const val PAIRS = 3
        private val STREAM_EVENTS = listOf(20, 40, 70, 86)
        private val EVENT_INTERVAL = 50.milliseconds
        private val TRAFFIC = 36.seconds
        private val LEAD = 2.seconds
        private val PAIR_GAP = 700.milliseconds
        private val RESTART_DELAY = 300.milliseconds
        private val POLL_INTERVAL = 20.milliseconds
    }
}
