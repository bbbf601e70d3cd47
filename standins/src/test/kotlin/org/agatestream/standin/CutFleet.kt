package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The number of events in a whole response. */
internal const val CUT_EVENTS = 5

/** The number of servers in the fleet of [withCutServers]. */
internal const val CUT_SERVERS = 6
internal const val STATUS_LINE = "HTTP/1.1 200 OK\r\n"
internal const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"

private const val CUT_MANIFEST =
    """{"Version":1,"Routes":[
    {"Name":"ask","Hostname":"h.example","Prefix":"/ask/","Type":"stream","Service":"s","TimeoutMs":5000},
    {"Name":"once","Hostname":"h.example","Prefix":"/once/","Type":"unsafe","Service":"c","TimeoutMs":5000},
    {"Name":"safe","Hostname":"h.example","Prefix":"/safe/","Type":"safe","Service":"c","TimeoutMs":5000,
     "MaxAttempts":3},
    {"Name":"stream","Hostname":"h.example","Prefix":"/stream/","Type":"stream","Service":"c","TimeoutMs":5000},
    {"Name":"resumed","Hostname":"h.example","Prefix":"/resumed/","Type":"stream","Service":"c","TimeoutMs":5000,
     "Resumable":true,"MaxAttempts":3},
    {"Name":"lot","Hostname":"h.example","Prefix":"/lot/","Type":"batch","Service":"c","CompletionTargetMs":9000,
     "KeepS":60,"MaxAttempts":3}],
    "Services":[{"Name":"s"},{"Name":"c"}],"Tenants":[{"Name":"team","ApiKeys":["secret-key"]}],
    "Limits":{"MaxBodyBytes":16777216}}"""

/** The header fields of a response that proves its origin. */
internal fun headers(id: String): String =
    "X-Agatestream-Attempt-Id: $id\r\nX-Agatestream-Response-Signature: signed\r\n" +
        "Content-Type: text/event-stream\r\n"

internal fun numberedEvent(
    id: String,
    number: Int,
): String = "id: $number\ndata: $id-$number\n\n"

/** One chunk of a body in chunks. */
internal fun chunkOf(text: String): String = "${text.length.toString(radix = 16)}\r\n$text\r\n"

/** A sound response with a length. */
internal fun withLength(
    id: String,
    body: String,
): String = "$STATUS_LINE${headers(id)}Content-Length: ${body.length}\r\n\r\n$body"

/** The events of a whole response from the first that is awaited. */
internal val CutRequest.body: String get() = (firstEvent until CUT_EVENTS).joinToString("") { numberedEvent(id, it) }

/** The body of a whole response to this request. */
internal fun wholeBody(id: String): String = (0 until CUT_EVENTS).joinToString("") { numberedEvent(id, it) }

/** The number of the case at the end of this id. */
internal fun caseOf(id: String): Int = id.substringAfterLast('c').toInt()

internal fun CutRequest.wholeResponse(): CutResponse = CutResponse(withLength(id, body), ConnectionEnd.KEEP)

/** A response with the first two events that breaks off after them. */
internal fun CutRequest.brokenResponse(): CutResponse {
    val events = chunkOf(numberedEvent(id, 0)) + chunkOf(numberedEvent(id, 1))
    return CutResponse(STATUS_LINE + headers(id) + CHUNKED + events, ConnectionEnd.CLOSE)
}

/** Runs [block] with VMs and [CUT_SERVERS] servers that answer as [script] says. */
internal suspend fun withCutServers(
    script: (CutRequest) -> CutResponse,
    block: suspend (PlatformFleet, CutRuns) -> Unit,
) {
    val runs = CutRuns()
    val servers = List(CUT_SERVERS) { CutServer(runs, script) }
    PlatformFleet(manifest = CUT_MANIFEST).use { fleet ->
        fleet.start()
        // All at once: while a VM knows only one of the servers, a refusal by that one is final.
        val entries =
            servers.withIndex().associate { (number, server) ->
                "c-$number" to """{"Service":"c","Address":"${server.address}","Zone":"d","Slots":8,"State":"ready"}"""
            }
        fleet.store.putAll("servers", entries)
        eventually(FLEET_TIMEOUT) { fleet.send(1, "POST", "/once/1", id = "ready").first shouldBe 200 }
        block(fleet, runs)
        fleet.vms.forEach { it.stop() }
    }
    servers.forEach { it.close() }
}

/** Answers requests to find whether the servers are known as a whole, others by [others]. */
internal fun scriptOf(others: (CutRequest) -> CutResponse): (CutRequest) -> CutResponse =
    { request -> if (request.id == "ready") request.wholeResponse() else others(request) }

/** The statuses that promise that a request did not run. */
private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

/** Sends a request to a VM, again while it is refused and did not run; returns null if its response was cut. */
internal suspend fun PlatformFleet.sendUntilRun(
    target: String,
    id: String,
    runs: CutRuns,
    body: String = "hello",
): WholeResponse? {
    while (true) {
        val response = sendWhole(caseOf(id) % 2, "POST", target, id = id, body = body)
        if (response?.status !in NOT_RUN_STATUSES || runs.of(id) > 0) return response
        delay(20.milliseconds)
    }
}

/** Submits [job] with one item for each id. */
internal suspend fun PlatformFleet.submitItems(
    ids: List<String>,
    job: String = "job",
    body: String = "YQ==",
) {
    val items = ids.joinToString(",") { """{"Id":"$it","Path":"/lot/1","Body":"$body","Tokens":10}""" }
    send(0, "POST", "/lot/j", id = job, body = """{"Requests":[$items]}""").first shouldBe 202
}

/** Submits [job] with one item for each id and returns all results. */
internal suspend fun PlatformFleet.runItems(
    ids: List<String>,
    job: String = "job",
    body: String = "YQ==",
): Map<String, String> {
    submitItems(ids, job, body)
    var results = emptyMap<String, String>()
    eventually(30.seconds) {
        results = itemResults(job)
        results.size shouldBe ids.size
    }
    return results
}

/** The result of an item with its whole output. */
internal fun completed(id: String): String = "completed: ${(0 until CUT_EVENTS).joinToString("\n") { "$id-$it" }}"

/** Reads state and output of each listed item of [job], in pages. */
internal suspend fun PlatformFleet.itemResults(job: String): Map<String, String> {
    val results = HashMap<String, String>()
    while (true) {
        val page = resultsOf(send(1, "GET", "/-/lots/$job?After=${results.size}").second)
        if (page.isEmpty()) return results
        results += page
    }
}

/** Returns state and output of each item in a response with results. */
private fun resultsOf(body: String): Map<String, String> =
    Json
        .parseToJsonElement(body)
        .jsonObject
        .getValue("Results")
        .jsonArray
        .map { it.jsonObject }
        .associate { result ->
            fun text(name: String) = result.getValue(name).jsonPrimitive.content
            text("Id") to "${text("State")}: ${text("Output")}"
        }
