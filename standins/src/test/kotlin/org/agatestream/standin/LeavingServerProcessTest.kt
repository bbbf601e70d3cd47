package org.agatestream.standin

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.delay
import org.agatestream.core.MonotonicTime
import java.io.File
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CALLERS = 24
private const val VMS = 3
private const val SERVERS = 4
private const val EVENTS = 20
private val EVENT_INTERVAL = 35.milliseconds
private val TRAFFIC = 12.seconds
private val LEAD = 4.seconds

// A third of the 3 s within which a VM must keep away from a server that told it that it is leaving.
private val BOUND = 1.seconds
private val REQUEST_TIMEOUT = 5.seconds

// Guards against requests to a server that says that it is leaving while its row stays ready.
class LeavingServerProcessTest :
    FunSpec({
        timeout = 90_000

        test("no VM sends a request that came after the bound to a server that is leaving, and all are served") {
            val servers = List(SERVERS) { PlatformServerStandIn("i-$it", EVENTS, EVENT_INTERVAL) }
            val names = List(VMS) { "vm-$it" }
            FleetProcesses(names, servers, MANIFEST, File("target/leaving-server")).use { fleet ->
                fleet.start()
                val entries = fleet.vms.map { it.config.entryAddress }
                val callers = List(CALLERS) { StreamCaller(it, entries, REQUEST_TIMEOUT, seed = 1) }
                val until = MonotonicTime.now() + TRAFFIC
                val threads = callers.map { thread(isDaemon = true) { it.run(until) } }
                delay(LEAD)
                val leaving = servers.first()
                val announcedAt = MonotonicTime.now()
                leaving.isLeaving = true
                threads.forEach { it.join() }

                val requests = callers.flatMap { it.requests }
                val after = leaving.started.filterValues { it > announcedAt }
                val late = requests.filter { it.id in after && it.sentAt > announcedAt + BOUND }
                val summary =
                    "${requests.size} requests, at the leaving server ${leaving.started.size}, after it said so " +
                        "${after.size}, late ${late.size}"
                println("leaving server: $summary")
                withClue(summary) {
                    after.size shouldBeGreaterThan 0
                    late.map { "${it.id} to ${it.address}" }.shouldBeEmpty()
                    requests.filter { it.status != 200 || !it.isWhole }.map { "${it.id} ${it.status}" }.shouldBeEmpty()
                    for (server in servers.drop(1)) {
                        server.started.values.count { it > announcedAt + BOUND } shouldBeGreaterThan 0
                    }
                }
            }
        }
    })
