package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds

private const val EVENTS = 50
private const val RELAYED_JOBS = 60
private val HEAD_LEAD = 200.milliseconds
private val BODY_DELAY = 300.milliseconds
private val RELAYED_JOB_INTERVAL = 50.milliseconds
private val NOT_RUN_STATUSES = setOf(429, 503)

/** The fleet's VMs close 2 s after SIGTERM; a stream of this fleet takes 2.5 s of its 5 s. */
private fun slowFleet() =
    PlatformFleet(
        listOf("a", "b"),
        servers = List(2) { PlatformServerStandIn("i-$it", events = EVENTS, interval = 50.milliseconds) },
    )

// Guards against work that a VM takes on in a planned stop and cuts at the end of its grace period.
class PlannedStopTest :
    FunSpec({
        timeout = 60_000

        test("a request that comes late in a planned stop is refused as not run, or its answer is whole") {
            slowFleet().use { fleet ->
                fleet.start()
                coroutineScope {
                    val stop = launch { fleet.vms[1].stop() }
                    delay(50.milliseconds)
                    val late =
                        List(4) { number ->
                            delay(50.milliseconds)
                            async { fleet.send(1, "GET", "/ask/1", id = "late$number") to "late$number-${EVENTS - 1}" }
                        }
                    for ((response, lastEvent) in late.awaitAll()) {
                        val (status, body) = response
                        status shouldBeIn listOf(200, 503)
                        if (status == 200) body shouldContain lastEvent
                    }
                    stop.join()
                }
                fleet.vms[0].stop()
            }
        }

        // Guards against a request whose head comes before a stop and whose body leaves too little time to serve it.
        test("a request whose body ends late in a planned stop is refused as not run") {
            slowFleet().use { fleet ->
                fleet.start()
                val (host, port) = fleet.callerAddress(1).split(':')
                Socket(host, port.toInt()).use { socket ->
                    socket.soTimeout = FLEET_TIMEOUT.inWholeMilliseconds.toInt()
                    val head =
                        "POST /ask/1 HTTP/1.1\r\nhost: h.example\r\nx-agatestream-attempt-id: slow\r\n" +
                            "api-key: secret-key\r\ncontent-length: 1\r\n\r\n"
                    socket.getOutputStream().write(head.encodeToByteArray())
                    delay(HEAD_LEAD)
                    coroutineScope {
                        val stop = launch(Dispatchers.Default) { fleet.vms[1].stop() }
                        delay(BODY_DELAY)
                        socket.getOutputStream().write("x".encodeToByteArray())
                        val status = withContext(Dispatchers.IO) { socket.getInputStream().bufferedReader().readLine() }
                        status shouldContain " 503 "
                        stop.join()
                    }
                }
                fleet.ran("slow").shouldBeFalse()
                fleet.vms[0].stop()
            }
        }

        test("a request with a short deadline is served in a planned stop") {
            PlatformFleet().use { fleet ->
                fleet.start()
                coroutineScope {
                    val stop = launch { fleet.vms[1].stop() }
                    delay(100.milliseconds)
                    val deadline = listOf("x-agatestream-deadline-ms" to "1000")
                    fleet.send(1, "GET", "/ask/1", id = "short", headers = deadline).second shouldContain "short-4"
                    stop.join()
                }
                fleet.vms[0].stop()
            }
        }

        test("a request from before a planned stop that outlasts it is answered") {
            PlatformFleet().use { fleet ->
                fleet.start()
                fleet.server.nextFault.set(PlatformServerFault.SILENCE)
                coroutineScope {
                    val request = async { fleet.send(1, "GET", "/ask/1", id = "early") }
                    eventually(FLEET_TIMEOUT) { fleet.server.ran("early").shouldBeTrue() }
                    fleet.vms[1].stop()
                    request.await().first shouldBe 504
                }
                fleet.vms[0].stop()
            }
        }

        test("an item that outlasts a planned stop goes on at another VM from its last event") {
            slowFleet().use { fleet ->
                fleet.start()
                val items = (1..4).joinToString(",") { """{"Id":"i$it","Path":"/lot/$it","Body":"YQ==","Tokens":10}""" }
                fleet.send(1, "POST", "/lot/j", id = "job", body = """{"Requests":[$items]}""").first shouldBe 202
                eventually(FLEET_TIMEOUT) { (1..4).all { fleet.ran("i$it") }.shouldBeTrue() }
                fleet.vms[1].stop()
                eventually(FLEET_TIMEOUT) {
                    val body = fleet.send(0, "GET", "/-/lots/job?After=0").second
                    for (item in 1..4) body shouldContain "i$item-${EVENTS - 1}"
                }
                val resumed = fleet.servers.flatMap { it.requests }.mapNotNull { it.lastEventId() }
                resumed.size shouldBeGreaterThan 0
                for (event in resumed) event shouldBeGreaterThan 10
                fleet.vms[0].stop()
            }
        }

        test("a job that is submitted through the store relay of a VM that stops is listed, or refused and never run") {
            PlatformFleet(listOf("a", "b", "c"), restricted = setOf("c")).use { fleet ->
                fleet.start()
                val answers =
                    coroutineScope {
                        val stop = launch { fleet.vms[1].stop() }
                        val jobs =
                            List(RELAYED_JOBS) { number ->
                                delay(RELAYED_JOB_INTERVAL)
                                val item = """{"Id":"r$number","Path":"/lot/1","Body":"YQ==","Tokens":1}"""
                                val body = """{"Requests":[$item]}"""
                                async { fleet.send(2, "POST", "/lot/j", id = "relayed$number", body = body).first }
                            }
                        stop.join()
                        jobs.awaitAll()
                    }
                println("answers to relayed jobs: ${answers.groupingBy { it }.eachCount()}")
                val accepted = answers.indices.filter { answers[it] == 202 }
                accepted.size shouldBeGreaterThan 0
                eventually(FLEET_TIMEOUT) {
                    for (job in accepted) {
                        fleet.send(0, "GET", "/-/lots/relayed$job?After=0").second shouldContain "r$job-4"
                    }
                }
                for (job in answers.indices) if (answers[job] in NOT_RUN_STATUSES) fleet.ran("r$job").shouldBeFalse()
                for (answer in answers) answer shouldBeGreaterThan 0
                fleet.vms[0].stop()
                fleet.vms[2].stop()
            }
        }
    })

private fun PlatformServerStandIn.ran(id: String): Boolean =
    requests.any { headers -> headers.any { it.first == "x-agatestream-attempt-id" && it.second == id } }

private fun PlatformFleet.ran(id: String): Boolean = servers.any { it.ran(id) }

private fun List<Pair<String, String>>.lastEventId(): Int? = find { it.first == "last-event-id" }?.second?.toInt()
