package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.milliseconds

private const val CALLERS = 8
private const val ROUNDS = 6
private const val MAX_PASSES = 6
private const val ITEMS = 12
private const val EVENTS = 5
private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
private val REFUSALS = listOf("503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request")
private val RESUMABLE =
    MANIFEST.replace("\"TimeoutMs\":5000", "\"TimeoutMs\":2000").replace(
        """"Routes":[""",
        """"Routes":[{"Name":"more","Hostname":"h.example","Prefix":"/more/","Type":"stream","Service":"s","SloMs":300,
        "TimeoutMs":2000,"Resumable":true,"MaxAttempts":3},""",
    )

private class Answer(
    val id: String,
    val status: Int,
    val body: String,
) {
    override fun toString() = "$id $status"
}

/** The statuses of a [RefusingServer] with this fault; a 421 says by itself that its server did not run the request. */
private fun FaultyRefusal.statuses(): List<String> =
    when (this) {
        FaultyRefusal.SIGNED_STATUS, FaultyRefusal.UNSIGNED_STATUS -> REFUSALS.take(2)
        else -> REFUSALS
    }

/** Runs [block] with two VMs, a slow sound server and one with [fault]. */
private suspend fun withRefusingServer(
    fault: FaultyRefusal,
    block: suspend (PlatformFleet, RefusingServer) -> Unit,
) {
    RefusingServer("i-refusing", fault, fault.statuses()).use { server ->
        val sound = PlatformServerStandIn("i-1", EVENTS, 30.milliseconds)
        PlatformFleet(servers = listOf(sound), manifest = RESUMABLE).use { fleet ->
            fleet.start()
            val entry = """{"Service":"s","Address":"${server.address}","Zone":"d","Slots":64,"State":"ready"}"""
            fleet.store.put("servers", server.id, entry)
            block(fleet, server)
            fleet.vms.forEach { it.stop() }
        }
    }
}

/** Sends requests one after the other, each a second time if the first answer says that it did not run. */
private suspend fun PlatformFleet.ask(
    caller: Int,
    target: String,
    name: String,
): List<Answer> =
    (0 until ROUNDS).flatMap { round ->
        val id = "$name-$caller-$round"
        val answers = ArrayList<Answer>()
        while (answers.size < 2 && answers.all { it.status in NOT_RUN_STATUSES }) {
            val (status, body) = send(caller % 2, "POST", target, id = id, body = "a")
            answers += Answer(id, status, body)
        }
        answers
    }

/** Sends the requests of all callers at a time until [server] has responded to some with its fault. */
private suspend fun PlatformFleet.askAll(
    server: RefusingServer,
    target: String,
): List<Answer> =
    coroutineScope {
        val before = server.faults.get()
        val answers = ArrayList<Answer>()
        for (pass in 0 until MAX_PASSES) {
            if (server.faults.get() > before) break
            val name = target.trim('/') + pass
            answers += (0 until CALLERS).map { async { ask(it, target, name) } }.awaitAll().flatten()
        }
        withClue("faults") { server.faults.get() shouldBeGreaterThan before }
        answers
    }

private fun PlatformFleet.runsAtSoundServer(id: String): Int =
    server.requests.count { headers -> "x-agatestream-attempt-id" to id in headers }

private fun textOf(id: String) = (0 until EVENTS).joinToString("") { "id: $it\ndata: $id-$it\n\n" }

class RefusedRunTest :
    FunSpec({
        timeout = 60_000

        for (fault in FaultyRefusal.entries) {
            val name = fault.name.lowercase()

            // Guards against "not run" for a request that a server ran, and against a second run of such a request.
            test("a request that ran is not answered as not run and does not run again: $name") {
                withRefusingServer(fault) { fleet, server ->
                    val answers = fleet.askAll(server, "/ask/")
                    val last = answers.associateBy { it.id }.values
                    val runs = last.associateWith { fleet.runsAtSoundServer(it.id) + (server.runs[it.id] ?: 0) }
                    withClue("answered with a refusal's status, but run") {
                        runs.filter { it.key.status in NOT_RUN_STATUSES && it.value > 0 }.keys.shouldBeEmpty()
                    }
                    withClue("run more than once") { runs.filterValues { it > 1 }.keys.shouldBeEmpty() }
                    answers.count { it.status == 200 } shouldBeGreaterThan 0
                    withClue("not the whole stream") {
                        val streams = (answers + fleet.askAll(server, "/more/")).filter { it.status == 200 }
                        streams.filter { it.body != textOf(it.id) }.shouldBeEmpty()
                    }
                }
            }

            // Guards against a result of an item that is lost or holds bytes of a refusal.
            test("an item completes whole beside a server that refuses what it ran: $name") {
                withRefusingServer(fault) { fleet, _ ->
                    val items = List(ITEMS) { """{"Id":"i$it","Path":"/lot/$it","Body":"YQ==","Tokens":10}""" }
                    fleet.send(0, "POST", "/lot/j", id = "job", body = """{"Requests":$items}""").first shouldBe 202
                    eventually(FLEET_TIMEOUT) {
                        val results = fleet.send(1, "GET", "/-/lots/job?After=0").second
                        for (item in 0 until ITEMS) {
                            val output = (0 until EVENTS).joinToString("\\n") { "i$item-$it" }
                            results shouldContain "\"$output\""
                        }
                    }
                }
            }
        }
    })
