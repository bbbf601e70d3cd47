package org.agatestream.standin

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private const val ITEMS = 6
private val MALFORMED_TIME = 2.5.seconds

// A server may get all items at first; after two failures in a row it is tried every 400 ms, later more seldom.
private const val MAX_RUNS = CUT_SERVERS * (ITEMS + 7)
private const val SIGNATURE = "x-agatestream-response-signature"

private const val MARK = "X-Agatestream-Not-Executed"

/** Lines of a refusal that do not say that the request did not run, as they are no fields. */
private val MALFORMED_MARKS = listOf("$MARK : 1", "$MARK\t: 1", "$MARK 1")

private fun refusal(
    id: String,
    mark: String,
): String = "HTTP/1.1 503 Service Unavailable\r\nX-Agatestream-Attempt-Id: $id\r\n$mark\r\nContent-Length: 0\r\n\r\n"

/** A change to a sound answer after which it is none by HTTP. */
private class Flaw(
    val what: String,
    private val change: (String) -> String,
) {
    fun of(answer: String): String = change(answer)
}

/** Statuses that are no three-digit number from 100 to 599. */
private val STATUS_FLAWS =
    listOf("000", "099", "600", "999", "20", "2000", "+200", "0200").map { status ->
        Flaw("the status $status") { it.replaceFirst("200 OK", "$status Unknown") }
    }

private val FIELD_FLAWS =
    mapOf(
        "a blank before a colon" to "X-Note : value",
        "a blank in a name" to "X Note: value",
        "a control byte in a name" to "X-No\u0001te: value",
        "a line without a colon" to "x note",
    ).map { (what, field) -> Flaw(what) { it.replaceFirst(STATUS_LINE, "$STATUS_LINE$field\r\n") } }

private val LENGTH_FLAWS =
    listOf(
        Flaw("a blank after the name of its length") { it.replaceFirst("Length:", "Length :") },
        Flaw("a blank in the name of its length") { it.replaceFirst("Content-Length", "Content Length") },
    )

private val CODING_FLAW =
    Flaw("a transfer coding that was not asked for") { "${it.inChunks()}\r\n".replaceFirst("chunked", "gzip, chunked") }

private val VERSION_FLAW = Flaw("the version 2.0") { it.replaceFirst("HTTP/1.1", "HTTP/2.0") }

private val UPGRADE_FLAW =
    Flaw("the status 101") { it.replaceFirst("200 OK", "101 Switching Protocols\r\nUpgrade: websocket") }

private val HEAD_FLAWS = STATUS_FLAWS + FIELD_FLAWS + LENGTH_FLAWS + CODING_FLAW + VERSION_FLAW + UPGRADE_FLAW

/** Flaws behind the whole body. */
private val TRAILER_FLAWS =
    listOf("X-Sum : 1", "X Sum: 1", "x sum").map { field ->
        Flaw("'$field' in its trailer") { "${it.inChunks()}$field\r\n\r\n" }
    }

private val FLAWS: List<Flaw> = HEAD_FLAWS + TRAILER_FLAWS

/** Returns this answer in chunks up to its trailer. */
private fun String.inChunks(): String {
    val head = substringBefore("Content-Length")
    return "$head$CHUNKED${chunkOf(substringAfter("\r\n\r\n"))}0\r\n"
}

/** A rare but sound answer to a request with this id and whole body, and the status with which it is passed on. */
private class SoundAnswer(
    val what: String,
    val status: Int = 200,
    val end: ConnectionEnd = ConnectionEnd.KEEP,
    val bytes: (String, String) -> String,
)

private const val FIELD = "!#$%&'*+-.^_`|~09: one : two"

private val SOUND_ANSWERS: List<SoundAnswer> =
    listOf(299, 499, 599).map { status ->
        SoundAnswer("the unknown status $status", status) { id, body ->
            withLength(id, body).replaceFirst("200 OK", "$status Unusual")
        }
    } +
        listOf(
            SoundAnswer("an empty reason") { id, body -> withLength(id, body).replaceFirst("200 OK", "200 ") },
            SoundAnswer("no reason") { id, body -> withLength(id, body).replaceFirst("200 OK", "200") },
            SoundAnswer("any legal field name") { id, body -> withField(id, body, FIELD) },
            SoundAnswer("obs-text in a value") { id, body -> withField(id, body, "x-note: d\u00e9j\u00e0") },
            SoundAnswer("the version 1.0") { id, body -> withLength(id, body).replaceFirst("1.1", "1.0") },
            SoundAnswer("a body that ends with the connection", end = ConnectionEnd.CLOSE) { id, body ->
                "$STATUS_LINE${headers(id)}\r\n$body"
            },
            SoundAnswer("a trailer") { id, body ->
                "$STATUS_LINE${headers(id)}$CHUNKED${chunkOf(body)}0\r\n!x|~: v\r\n\r\n"
            },
        )

private fun withField(
    id: String,
    body: String,
    field: String,
): String = withLength(id, body).replaceFirst(STATUS_LINE, "$STATUS_LINE$field\r\n")

private val CutRequest.flaw: Flaw get() = FLAWS[caseOf(id)]

private const val LEAVING = "Server-Leaving: 1\r\n"

/** A flawed response that has [field] as its first one. */
private fun CutRequest.flawedResponse(field: String = ""): CutResponse =
    CutResponse(flaw.of(withLength(id, body)).replaceFirst("\r\n", "\r\n$field"), ConnectionEnd.KEEP)

private fun CutRequest.soundResponse(): CutResponse =
    SOUND_ANSWERS[caseOf(id)].let { CutResponse(it.bytes(id, body), it.end) }

/** Sends one request under [prefix] for each of [cases] and checks its response and runs. */
private suspend fun PlatformFleet.forEachCase(
    prefix: String,
    cases: List<String>,
    runs: CutRuns,
    check: (String, WholeResponse?) -> Unit,
) {
    val responses =
        cases.mapIndexed { number, what ->
            val id = "${prefix}c$number"
            val response = sendUntilRun("/$prefix/x", id, runs)
            Triple(what, id, response)
        }
    assertSoftly {
        for ((what, id, response) in responses) {
            withClue("$what, ${runs.of(id)} runs, status ${response?.status}") { check(id, response) }
        }
    }
}

class MalformedAnswerTest :
    FunSpec({
        timeout = 60_000
        val flaws = FLAWS.map { it.what }
        val headFlaws = HEAD_FLAWS.map { it.what }

        for (kind in listOf("once", "stream")) {
            // Guards against bytes that are no answer by HTTP and that a caller gets as its server's answer.
            test("a request of the route '$kind' whose answer is malformed fails without a signature, and runs once") {
                withCutServers(scriptOf { it.flawedResponse() }) { fleet, runs ->
                    fleet.forEachCase(kind, flaws, runs) { id, response ->
                        // A stream is cut if its events came before the flaw.
                        if (response != null || kind == "once") response?.status shouldBe 502
                        response?.headers.orEmpty().map { it.first } shouldNotContain SIGNATURE
                        runs.of(id) shouldBe 1
                    }
                }
            }
        }

        test("a request that may be repeated gets the whole answer of another server") {
            val script = scriptOf { if (it.earlierRuns < 2) it.flawedResponse() else it.wholeResponse() }
            withCutServers(script) { fleet, runs ->
                fleet.forEachCase("safe", flaws, runs) { id, response ->
                    response?.status shouldBe 200
                    response?.body shouldBe wholeBody(id)
                    runs.of(id) shouldBe 3
                }
            }
        }

        test("a stream whose first resumption is malformed is whole after the second") {
            val script =
                scriptOf {
                    when (it.earlierRuns) {
                        0 -> it.brokenResponse()
                        1 -> it.flawedResponse()
                        else -> it.wholeResponse()
                    }
                }
            withCutServers(script) { fleet, runs ->
                fleet.forEachCase("resumed", headFlaws, runs) { id, response ->
                    response?.status shouldBe 200
                    response?.body shouldBe wholeBody(id)
                    runs.of(id) shouldBe 3
                }
            }
        }

        test("an item whose answers are malformed is listed with its whole output") {
            val script = scriptOf { if (it.earlierRuns < 2) it.flawedResponse() else it.wholeResponse() }
            withCutServers(script) { fleet, _ ->
                val ids = FLAWS.indices.map { "itemc$it" }
                fleet.runItems(ids) shouldContainExactly ids.associateWith { completed(it) }
            }
        }

        // Guards against a server that is not counted as one in trouble, so that its items run again without a pause.
        test("an item whose answers are all malformed does not run again without a pause") {
            val script = scriptOf { it.flawedResponse() }
            withCutServers(script) { fleet, runs ->
                val ids = List(ITEMS) { "item${it}c0" }
                fleet.submitItems(ids)
                delay(MALFORMED_TIME)
                ids.sumOf { runs.of(it) } shouldBeInRange 1..MAX_RUNS
            }
        }

        // Guards against a request that runs twice, as a refusal counts whose mark can't be read.
        test("a refusal proves that a request did not run only if it is well-formed") {
            val script =
                scriptOf {
                    when {
                        it.earlierRuns > 0 -> it.wholeResponse()
                        caseOf(it.id) == 0 -> CutResponse(refusal(it.id, "$MARK: 1"), ConnectionEnd.KEEP)
                        else -> CutResponse(refusal(it.id, MALFORMED_MARKS[caseOf(it.id) - 1]), ConnectionEnd.KEEP)
                    }
                }
            withCutServers(script) { fleet, runs ->
                fleet.forEachCase("once", listOf("sound") + MALFORMED_MARKS, runs) { id, response ->
                    response?.status shouldBe if (caseOf(id) == 0) 200 else 502
                    runs.of(id) shouldBe if (caseOf(id) == 0) 2 else 1
                }
            }
        }

        // Guards against a server that is given no more requests because of what a malformed answer says of it.
        test("a malformed answer says nothing about its server") {
            val script =
                scriptOf { if (it.id.startsWith("last")) it.wholeResponse() else it.flawedResponse(LEAVING) }
            withCutServers(script) { fleet, runs ->
                fleet.forEachCase("once", headFlaws, runs) { _, _ -> }
                repeat(CUT_SERVERS) { number ->
                    eventually(FLEET_TIMEOUT) {
                        fleet.send(number % 2, "POST", "/once/x", id = "last$number").first shouldBe 200
                    }
                }
            }
        }

        // Guards against a check that takes a sound answer for a malformed one.
        test("a rare but sound answer is passed on as it is") {
            withCutServers(scriptOf { it.soundResponse() }) { fleet, runs ->
                fleet.forEachCase("once", SOUND_ANSWERS.map { it.what }, runs) { id, response ->
                    val answer = SOUND_ANSWERS[caseOf(id)]
                    response?.status shouldBe answer.status
                    response?.body shouldBe wholeBody(id)
                    response?.headers.shouldNotBeNull() shouldContain (SIGNATURE to "signed")
                    runs.of(id) shouldBe 1
                }
            }
        }

        test("a stream in a rare but sound answer, begun or resumed, is passed on whole") {
            for (isResumed in listOf(false, true)) {
                val script =
                    scriptOf {
                        if (isResumed && it.earlierRuns == 0) it.brokenResponse() else it.soundResponse()
                    }
                withCutServers(script) { fleet, runs ->
                    val cases = SOUND_ANSWERS.map { it.what }
                    fleet.forEachCase("resumed", cases, runs) { id, response ->
                        val answer = SOUND_ANSWERS[caseOf(id)]
                        if (answer.status == 200) response?.body shouldBe wholeBody(id)
                        if (answer.status != 200 && isResumed) response shouldBe null
                        if (answer.status != 200 && !isResumed) response?.status shouldBe answer.status
                    }
                }
            }
        }

        test("an item gets its output from rare but sound answers") {
            withCutServers(scriptOf { it.soundResponse() }) { fleet, _ ->
                val ids = SOUND_ANSWERS.indices.filter { SOUND_ANSWERS[it].status == 200 }.map { "itemc$it" }
                fleet.runItems(ids) shouldContainExactly ids.associateWith { completed(it) }
            }
        }
    })
