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
) {
    private val random = Random(seed)
    private val servers =
        STREAM_EVENTS.mapIndexed { index, events -> PlatformServerStandIn("i-$index", events, EVENT_INTERVAL) }
    private val fleet =
        FleetProcesses(
            names = List(VMS) { "vm-$it" },
            servers = servers,
            manifest = STOP_MANIFEST,
            directory = File("target/rolling-stop/$seed"),
        )
    private val stops = ArrayList<PlannedStop>()
    private val killed = ArrayList<String>()

    /** Runs the stops and returns what callers saw. */
    suspend fun run(): StopReport =
        fleet.use {
            fleet.start()
            val entries = fleet.vms.map { it.config.entryAddress }
            val callers = List(CALLERS) { StreamCaller(it, entries, REQUEST_TIMEOUT, seed) }
            val until = MonotonicTime.now() + TRAFFIC
            val threads = callers.map { thread(isDaemon = true) { it.run(until) } }
            delay(LEAD)
            repeat(PAIRS) { stopPair() }
            threads.forEach { it.join() }
            StopReport(callers.flatMap { it.requests }, servers, stops, killed)
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
        val at = MonotonicTime.now()
        stops += PlannedStop(vm.config.callerAddress, at)
        vm.process.stop()
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

    companion object {
        /** The longest that a request may take, at its caller and by its route. */
        val REQUEST_TIMEOUT = 5.seconds
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
        private const val STOP_MANIFEST =
            """{"Version":1,"Routes":[{"Name":"ask","Hostname":"h.example","Prefix":"/ask/","Type":"stream",
            "Service":"s","SloMs":300,"GapTargetMs":400,"TimeoutMs":5000,"MaxAttempts":1}],
            "Services":[{"Name":"s"}],"Tenants":[{"Name":"team","ApiKeys":["secret-key"]}]}"""
    }
}
