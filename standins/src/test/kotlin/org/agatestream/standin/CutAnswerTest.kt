package org.agatestream.standin

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val INTERIM = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"

/** A place at which a server stops within the response to a request with the events from [CutRequest.firstEvent]. */
private class Cut(
    val what: String,
    val end: ConnectionEnd,
    /** Returns the bytes up to the cut, for an id and the body of the whole response. */
    val bytes: (String, String) -> String,
) {
    /** True if events precede the cut. */
    val holdsEvents: Boolean get() = "data:" in bytes("id", wholeBody("id"))

    /** True if all events precede the cut. */
    val holdsAllEvents: Boolean get() = lastEvent in bytes("id", wholeBody("id"))
    private val lastEvent: String get() = numberedEvent("id", CUT_EVENTS - 1)
}

private val CUTS: List<Cut> =
    listOf<Pair<String, (String, String) -> String>>(
        "before the status line" to { _, _ -> "" },
        "within the status line" to { _, _ -> STATUS_LINE.take(8) },
        "within the status" to { _, _ -> STATUS_LINE.take(11) },
        "before the end of the status line" to { _, _ -> STATUS_LINE.dropLast(2) },
        "after the status line" to { _, _ -> STATUS_LINE },
        "within the name of a header" to { id, _ -> STATUS_LINE + headers(id) + "Content-Len" },
        "within the value of a header" to { id, _ -> STATUS_LINE + headers(id).dropLast(8) },
        "before the length" to { id, _ -> "$STATUS_LINE${headers(id)}Content-Length: " },
        "within the length" to { id, body -> "$STATUS_LINE${headers(id)}Content-Length: ${"${body.length}".take(1)}" },
        "within a length that begins with zero" to { id, _ -> "$STATUS_LINE${headers(id)}Content-Length: 0" },
        "after the length" to { id, body -> "$STATUS_LINE${headers(id)}Content-Length: ${body.length}\r\n" },
        "within the blank line" to { id, body -> "$STATUS_LINE${headers(id)}Content-Length: ${body.length}\r\n\r" },
        "before a body with a length" to { id, body -> withLength(id, body).removeSuffix(body) },
        "within a body with a length" to { id, body -> withLength(id, body).dropLast(body.length / 2) },
        "before the last byte of a body with a length" to { id, body -> withLength(id, body).dropLast(1) },
        "before a body that ends with the connection" to { id, _ -> "$STATUS_LINE${headers(id)}\r\n" },
        "before the first chunk" to { id, _ -> STATUS_LINE + headers(id) + CHUNKED },
        "within a chunk" to { id, body -> STATUS_LINE + headers(id) + CHUNKED + chunkOf(body).take(body.length / 2) },
        "after an event in a chunk" to { id, body ->
            STATUS_LINE + headers(id) + CHUNKED + chunkOf(body.substringBefore("\n\n") + "\n\n")
        },
        "before the last chunk" to { id, body -> STATUS_LINE + headers(id) + CHUNKED + chunkOf(body) },
        "within the last chunk" to { id, body -> STATUS_LINE + headers(id) + CHUNKED + chunkOf(body) + "0\r\n" },
        "after an interim response" to { _, _ -> INTERIM },
        "within the head after an interim response" to { id, body ->
            "$INTERIM$STATUS_LINE${headers(id)}Content-Length: ${body.length}\r\n"
        },
    ).flatMap { (what, bytes) ->
        listOf(ConnectionEnd.CLOSE, ConnectionEnd.RESET).map { Cut("$what, $it", it, bytes) }
    }

private fun cutOf(id: String): Cut = CUTS[id.substringAfterLast('c').toInt()]

private fun CutRequest.cutResponse(): CutResponse = cutOf(id).let { CutResponse(it.bytes(id, body), it.end) }

/** Sends the request of each cut under [prefix], again while it is refused as not run, and checks the responses. */
private suspend fun PlatformFleet.forEachCut(
    prefix: String,
    runs: CutRuns,
    check: (String, Pair<Int, String>) -> Unit,
) {
    val responses =
        CUTS.mapIndexed { number, cut ->
            val id = "${prefix}c$number"
            var response: Pair<Int, String>
            do {
                response = send(number % 2, "POST", "/$prefix/x", id = id, body = "hello")
                val isRefused = response.first == 503
                if (isRefused) delay(20.milliseconds)
            } while (isRefused)
            Triple(cut.what, id, response)
        }
    assertSoftly {
        for ((what, id, response) in responses) {
            withClue("cut $what, ${runs.of(id)} runs") { check(id, response) }
        }
    }
}

class CutAnswerTest :
    FunSpec({
        timeout = 60_000

        // Guards against a caller that gets the beginning of an answer as a whole one.
        test("a request gets no success if its server stops within the answer") {
            withCutServers(scriptOf { it.cutResponse() }) { fleet, runs ->
                fleet.forEachCut("once", runs) { id, response ->
                    response.first shouldBe 502
                    runs.of(id) shouldBe 1
                }
            }
        }

        test("a request that may be repeated gets the whole answer of another server") {
            val script = scriptOf { if (it.earlierRuns < 2) it.cutResponse() else it.wholeResponse() }
            withCutServers(script) { fleet, runs ->
                fleet.forEachCut("safe", runs) { id, response -> response shouldBe (200 to wholeBody(id)) }
            }
        }

        // Guards against a stream without its last events that ends as a whole one.
        test("a stream that may not be resumed is cut where its server stopped") {
            withCutServers(scriptOf { it.cutResponse() }) { fleet, runs ->
                fleet.forEachCut("stream", runs) { id, response ->
                    response.first shouldNotBe 200
                    runs.of(id) shouldBe 1
                }
            }
        }

        // Guards against a resumption that ends the stream by the beginning of its answer.
        test(
            "a stream whose first resumption is cut is whole after the second, or broken if no event was left for it",
        ) {
            val script =
                scriptOf {
                    when (it.earlierRuns) {
                        0 -> it.brokenResponse()
                        1 -> it.cutResponse()
                        else -> it.wholeResponse()
                    }
                }
            withCutServers(script) { fleet, runs ->
                fleet.forEachCut("resumed", runs) { id, response ->
                    val cut = cutOf(id)
                    val isBroken = response.first == 0
                    if (cut.holdsAllEvents && cut.end == ConnectionEnd.CLOSE) isBroken shouldBe true
                    // A reset may take events with it that were not read yet.
                    if (!isBroken || !cut.holdsAllEvents) response shouldBe (200 to wholeBody(id))
                    runs.of(id) shouldBe 3
                }
            }
        }

        test("a stream whose resumptions are all cut is broken unless they hold all its events") {
            val script = scriptOf { if (it.earlierRuns == 0) it.brokenResponse() else it.cutResponse() }
            withCutServers(script) { fleet, runs ->
                fleet.forEachCut("resumed", runs) { id, response ->
                    if (response.first == 200) response.second shouldBe wholeBody(id)
                    if (!cutOf(id).holdsEvents) response.first shouldNotBe 200
                }
            }
        }

        // Guards against an item that is listed with the beginning of its output, or as one that can't be done.
        for (isResumed in listOf(false, true)) {
            test("an item whose answers are cut is listed with its whole output, resumed=$isResumed") {
                val script =
                    scriptOf {
                        when {
                            isResumed && it.earlierRuns == 0 -> it.brokenResponse()
                            it.earlierRuns < 3 -> it.cutResponse()
                            else -> it.wholeResponse()
                        }
                    }
                withCutServers(script) { fleet, _ ->
                    val ids = CUTS.indices.map { "itemc$it" }
                    val items = ids.joinToString(",") { """{"Id":"$it","Path":"/lot/1","Body":"YQ==","Tokens":10}""" }
                    val (status, _) = fleet.send(0, "POST", "/lot/j", id = "job", body = """{"Requests":[$items]}""")
                    status shouldBe 202
                    var results = emptyMap<String, String>()
                    eventually(30.seconds) {
                        results = fleet.itemResults("job")
                        results.size shouldBe ids.size
                    }
                    val whole =
                        ids.associateWith { id ->
                            "completed: ${(0 until CUT_EVENTS).joinToString("\n") { "$id-$it" }}"
                        }
                    results shouldContainExactly whole
                }
            }
        }
    })
