package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val REQUESTS = 24
private val SPREAD_TIME = 1.seconds
private val MANIFEST_WITH_WHOLE =
    MANIFEST.replace(
        """"Routes":[""",
        """"Routes":[{"Name":"whole","Hostname":"h.example","Prefix":"/whole/","Type":"safe","Service":"s","SloMs":300,
        "TimeoutMs":2000,"MaxAttempts":2},{"Name":"more","Hostname":"h.example","Prefix":"/more/","Type":"stream",
        "Service":"s","SloMs":300,"TimeoutMs":2000,"Resumable":true,"MaxAttempts":3},""",
    )

/** The answers of a server that prove to be its own. */
private val PROVEN =
    listOf(
        null,
        PlatformServerFault.REFUSAL,
        PlatformServerFault.MISDIRECTED,
        PlatformServerFault.IMPOSSIBLE,
        PlatformServerFault.FAILURE,
    )

/** The answers that do not tell anything about the server that was asked. */
private val UNPROVEN =
    listOf(
        PlatformServerFault.UNSIGNED_EMPTY,
        PlatformServerFault.UNSIGNED_EVENT,
        PlatformServerFault.UNSIGNED_IMPOSSIBLE,
        PlatformServerFault.MISDIRECTED_ELSEWHERE,
        PlatformServerFault.FOREIGN_REFUSAL,
    )

private fun entryOf(
    address: String,
    born: Long,
) = """{"Service":"s","Address":"$address","Zone":"d","Slots":4,"State":"ready","born":$born}"""

private suspend fun withServers(
    count: Int = 2,
    servers: List<PlatformServerStandIn> = List(count) { PlatformServerStandIn("i-$it") },
    names: List<String> = listOf("a", "b"),
    stopped: Int = 0,
    block: suspend (PlatformFleet) -> Unit,
) = PlatformFleet(names, emptySet(), servers, MANIFEST_WITH_WHOLE).use { fleet ->
    fleet.start()
    block(fleet)
    fleet.vms.drop(stopped).forEach { it.stop() }
}

/** Sends requests to [vm] until the server that leaves has answered one; returns when. */
private suspend fun PlatformFleet.sendUntilHeard(
    vm: Int,
    target: String = "/ask/1",
    fault: PlatformServerFault? = null,
): MonotonicTime {
    val server = servers.first()
    val before = server.received
    server.isLeaving = true
    server.nextFault.set(fault)
    eventually(FLEET_TIMEOUT) {
        send(vm, "GET", target, id = "heard")
        server.received shouldBeGreaterThan before
    }
    return MonotonicTime.now()
}

/** Sends requests to every VM of [vms]; returns how many the first server and the others received. */
private suspend fun PlatformFleet.spread(vms: Iterable<Int> = this.vms.indices): Pair<Int, Int> {
    val before = servers.map { it.received }
    repeat(REQUESTS) { number -> for (vm in vms) send(vm, "GET", "/ask/1", id = "s$number-$vm") }
    val received = servers.mapIndexed { index, server -> server.received - before[index] }
    return received.first() to received.drop(1).sum()
}

// Guards against work for a backend server that has said that it is leaving, and against sound ones that get none.
class LeavingServerTest :
    FunSpec({
        timeout = 60_000

        for (fault in PROVEN) {
            for (target in listOf("/ask/1", "/whole/1")) {
                test("a server that says in an answer that it is leaving gets no more work: $fault, $target") {
                    withServers { fleet ->
                        fleet.sendUntilHeard(0, target, fault)
                        withClue("at the VM that heard it") { fleet.spread(listOf(0)) shouldBe (0 to REQUESTS) }
                        delay(SPREAD_TIME)
                        withClue("at all VMs") { fleet.spread() shouldBe (0 to 2 * REQUESTS) }
                    }
                }
            }
        }

        for (fault in UNPROVEN) {
            test("an answer that is not the server's own does not take it out of use: $fault") {
                withServers { fleet ->
                    val server = fleet.servers.first()
                    eventually(FLEET_TIMEOUT) {
                        server.isLeaving = true
                        server.nextFault.set(fault)
                        fleet.send(0, "GET", "/ask/1", id = "unproven")
                        server.isLeaving = false
                        server.nextFault.getAndSet(null) shouldBe null
                    }
                    delay(SPREAD_TIME)
                    fleet.spread().first shouldBeGreaterThan 0
                }
            }
        }

        test("a server that says in the answer to a resumed run that it is leaving gets no more work") {
            withServers { fleet ->
                val (server, broken) = fleet.servers
                server.isLeavingWhenResumed = true
                eventually(FLEET_TIMEOUT) {
                    broken.nextFault.set(PlatformServerFault.UNNUMBERED_EVENT)
                    fleet.send(0, "GET", "/more/1", id = "resumed").second shouldContain "resumed-4"
                    server.isLeaving shouldBe true
                }
                broken.nextFault.set(null)
                fleet.spread(listOf(0)) shouldBe (0 to REQUESTS)
            }
        }

        test("a server counts as leaving from the head of a stream on, which ends there") {
            val slow = List(2) { PlatformServerStandIn("i-$it", events = 30, interval = 100.milliseconds) }
            withServers(servers = slow) { fleet ->
                val server = fleet.servers.first()
                server.isLeaving = true
                coroutineScope {
                    val streams = List(2) { async { fleet.send(0, "GET", "/ask/1", id = "slow$it") } }
                    eventually(FLEET_TIMEOUT) { server.started.keys.any { it.startsWith("slow") } shouldBe true }
                    delay(300.milliseconds)
                    val before = server.received
                    val later = List(2) { async { fleet.send(it, "GET", "/ask/1", id = "later$it") } }
                    (streams + later).forEachIndexed { index, it ->
                        withClue(index) {
                            it.await().second shouldContain
                                "-29"
                        }
                    }
                    server.received shouldBe before
                }
            }
        }

        test("a row that says ready after the header does not bring the server back, and a restart does") {
            withServers { fleet ->
                val server = fleet.servers.first()
                fleet.sendUntilHeard(0)
                val entry = entryOf(fleet.addressOf(server), born = 1)
                fleet.store.put("servers", server.id, entry.replace("\"Slots\":4", "\"Slots\":8"))
                delay(SPREAD_TIME)
                fleet.spread().first shouldBe 0
                server.isLeaving = false
                fleet.store.put("servers", server.id, entry.replace("\"born\":1", "\"born\":2"))
                delay(SPREAD_TIME)
                fleet.spread().first shouldBeGreaterThan 0
            }
        }

        test("without the store, the VM that heard it and all others keep away from the server") {
            withServers(names = listOf("a", "b", "c")) { fleet ->
                fleet.store.isDown = true
                delay(2.seconds)
                fleet.sendUntilHeard(1)
                fleet.spread(listOf(1)) shouldBe (0 to REQUESTS)
                delay(SPREAD_TIME)
                fleet.spread() shouldBe (0 to 3 * REQUESTS)
                fleet.store.isDown = false
                delay(3.seconds)
                fleet.spread() shouldBe (0 to 3 * REQUESTS)
            }
        }

        test("a new coordinator does not send work to a server of which its predecessor knew that it is leaving") {
            withServers(names = listOf("a", "b", "c"), stopped = 1) { fleet ->
                fleet.sendUntilHeard(2)
                fleet.vms[0].stop()
                fleet.spread(listOf(1, 2)).first shouldBe 0
            }
        }

        test("without a store and a coordinator, the VM that heard it and all others keep away from the server") {
            withServers(names = listOf("a", "b", "c"), stopped = 1) { fleet ->
                fleet.store.isDown = true
                delay(2.seconds)
                fleet.vms[0].stop()
                fleet.sendUntilHeard(1)
                fleet.spread(listOf(1)).first shouldBe 0
                delay(SPREAD_TIME)
                fleet.spread(listOf(1, 2)).first shouldBe 0
                fleet.store.isDown = false
            }
        }

        test("a VM that starts later keeps away from the server") {
            PlatformFleet(listOf("a", "b"), servers = List(2) { PlatformServerStandIn("i-$it") }).use { fleet ->
                fleet.start(lateVms = 1)
                fleet.sendUntilHeard(0)
                fleet.startLate(1)
                delay(SPREAD_TIME)
                fleet.spread(listOf(1)).first shouldBe 0
                fleet.vms.forEach { it.stop() }
            }
        }

        test("several servers leave at once, and the last ones get all work") {
            withServers(count = 4) { fleet ->
                fleet.servers.take(3).forEach { it.isLeaving = true }
                repeat(REQUESTS) { fleet.send(it % 2, "GET", "/ask/1", id = "r$it") }
                delay(SPREAD_TIME)
                val before = fleet.servers.map { it.received }
                repeat(REQUESTS) { fleet.send(it % 2, "GET", "/ask/1", id = "q$it").first shouldBe 200 }
                fleet.servers.mapIndexed { index, it -> it.received - before[index] } shouldBe listOf(0, 0, 0, REQUESTS)
            }
        }

        test("requests of a service with only leaving servers are refused at once, also queued ones") {
            val slow = listOf(PlatformServerStandIn("i-0", events = 20, interval = 50.milliseconds))
            withServers(servers = slow) { fleet ->
                val server = fleet.servers.single()
                coroutineScope {
                    val running = List(4) { async { fleet.send(0, "GET", "/ask/1", id = "run$it") } }
                    eventually(FLEET_TIMEOUT) { server.started.keys.count { it.startsWith("run") } shouldBe 4 }
                    val queued = List(4) { async { fleet.send(1, "GET", "/ask/1", id = "queued$it").first } }
                    server.isLeaving = true
                    running.forEach { it.await().second shouldContain "-19" }
                    eventually(FLEET_TIMEOUT) { fleet.send(0, "GET", "/ask/1", id = "heard").first shouldBe 503 }
                    val before = MonotonicTime.now()
                    fleet.send(0, "GET", "/ask/1", id = "new").first shouldBe 503
                    (MonotonicTime.now() - before) shouldBeLessThan 500.milliseconds
                    queued.forEach { it.await() }
                    val received = server.received
                    delay(SPREAD_TIME)
                    repeat(4) { fleet.send(it % 2, "GET", "/ask/1", id = "end$it").first shouldBe 503 }
                    server.received shouldBe received
                }
            }
        }

        test("items go to other servers once their server is leaving") {
            withServers { fleet ->
                val server = fleet.servers.first()
                fleet.sendUntilHeard(1)
                val before = server.received
                val items = List(12) { """{"Id":"i$it","Path":"/lot/$it","Body":"YQ==","Tokens":10}""" }
                fleet.send(0, "POST", "/lot/j", id = "job", body = """{"Requests":$items}""").first shouldBe 202
                eventually(FLEET_TIMEOUT) {
                    val results = fleet.send(1, "GET", "/-/lots/job?After=0").second
                    repeat(12) { results shouldContain "i$it-4" }
                }
                server.received shouldBe before
            }
        }

        test("an item's answer tells that its server is leaving") {
            withServers { fleet ->
                val server = fleet.servers.first()
                server.isLeaving = true
                val items = List(8) { """{"Id":"i$it","Path":"/lot/$it","Body":"YQ==","Tokens":10}""" }
                fleet.send(0, "POST", "/lot/j", id = "job", body = """{"Requests":$items}""").first shouldBe 202
                eventually(FLEET_TIMEOUT) { server.received shouldBeGreaterThan 0 }
                delay(SPREAD_TIME)
                fleet.spread().first shouldBe 0
            }
        }
    })
