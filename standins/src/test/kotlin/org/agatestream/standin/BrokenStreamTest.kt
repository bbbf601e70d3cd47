package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicInteger

private const val EVENTS = 6
private const val SENT_EVENTS = 4
private const val SERVERS = 6
private const val MAX_ITEM_RUNS = 8
private const val COMMENT = ": still here\n\n"
private const val ERROR_TEXT = "{\"error\":\"of no request\"}"
private const val ERROR_HEAD =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: 25\r\n\r\n$ERROR_TEXT"

private val BROKEN_MANIFEST =
    MANIFEST
        .replace(
            "\"Routes\":[",
            """"Routes":[
            {"Name":"raw","Hostname":"h.example","Prefix":"/raw/","Type":"stream","Service":"raw","SloMs":300,
             "TimeoutMs":5000,"Resumable":true,"MaxAttempts":3},
            {"Name":"once","Hostname":"h.example","Prefix":"/once/","Type":"stream","Service":"raw","SloMs":300,
             "TimeoutMs":5000},
            {"Name":"safe","Hostname":"h.example","Prefix":"/safe/","Type":"safe","Service":"raw","SloMs":300,
             "TimeoutMs":5000},
            {"Name":"rawlot","Hostname":"h.example","Prefix":"/rawlot/","Type":"batch","Service":"raw",
             "CompletionTargetMs":9000,"KeepS":60,"MaxAttempts":3},""",
        ).replace("\"Services\":[", "\"Services\":[{\"Name\":\"raw\"},")

private fun event(
    id: String,
    number: Int,
) = "id: $number\ndata: $id-$number\n\n"

private fun events(
    id: String,
    from: Int = 0,
    until: Int = EVENTS,
) = (from until until).joinToString("") { event(id, it) }

private fun head(
    id: String,
    status: String = "200 OK",
    type: String = "text/event-stream",
    more: String = "",
) = "HTTP/1.1 $status\r\nx-agatestream-attempt-id: $id\r\nx-agatestream-response-signature: s\r\n" +
    "connection: close\r\ncontent-type: $type\r\n$more"

private fun chunk(body: String) = if (body.isEmpty()) "" else "${body.length.toString(16)}\r\n$body\r\n"

private fun String.chunked(body: String) = "${this}transfer-encoding: chunked\r\n\r\n${chunk(body)}0\r\n\r\n"

private fun String.sized(body: String) = "${this}content-length: ${body.length}\r\n\r\n$body"

private fun String.unframed(body: String) = "$this\r\n$body"

/** The ways to frame a body in two parts with a pause between them. */
private val FRAMES: List<(head: String, sent: String, pause: String, rest: String) -> String> =
    listOf(
        { head, sent, pause, rest ->
            "${head}transfer-encoding: chunked\r\n\r\n${chunk(sent)}$pause${chunk(rest)}0\r\n\r\n"
        },
        { head, sent, pause, rest -> "${head}content-length: ${sent.length + rest.length}\r\n\r\n$sent$pause$rest" },
        { head, sent, pause, rest -> "$head\r\n$sent$pause$rest" },
    )

/** The head and [sent] of the events, cut off by the end of the connection before the end of the body. */
private fun cut(
    run: RawRun,
    sent: Int = SENT_EVENTS,
): String = head(run.id) + "transfer-encoding: chunked\r\n\r\n" + chunk(events(run.id, until = sent))

private fun cutOfLength(run: RawRun): String =
    head(run.id) + "content-length: ${events(run.id).length}\r\n\r\n" + events(run.id, until = SENT_EVENTS)

private fun sound(run: RawRun): String = head(run.id).chunked(events(run.id, from = (run.lastEvent ?: -1) + 1))

private fun error(status: String): (String) -> String =
    { head(it, status, type = "application/json").sized(ERROR_TEXT) }

/** Answers, by the id of the request, to a request to continue after the first four of six events. */
private val CONTINUATIONS: Map<String, (String) -> String> =
    mapOf(
        "status 500" to error("500 Internal Server Error"),
        "status 422" to error("422 Unprocessable Content"),
        "status 404" to error("404 Not Found"),
        "status 206 with events" to { id -> head(id, "206 Partial Content").chunked(events(id, SENT_EVENTS)) },
        "status 204" to { id -> head(id, "204 No Content") + "\r\n" },
        "an unsigned 500" to { id -> error("500 Oops")(id).replace("x-agatestream-response-signature: s\r\n", "") },
        "unsigned events" to
            { id -> head(id).chunked(events(id, SENT_EVENTS)).replace("x-agatestream-response-signature: s\r\n", "") },
        "a refusal with 503" to
            { id -> head(id, "503 No", more = "x-agatestream-not-executed: 1\r\n").sized(ERROR_TEXT) },
        "a refusal with 429" to
            { id -> head(id, "429 No", more = "x-agatestream-not-executed: 1\r\n").sized(ERROR_TEXT) },
        "a refusal with 421" to { id -> head(id, "421 Misdirected").sized("") },
        "JSON of a length" to { id -> head(id, type = "application/json").sized(ERROR_TEXT) },
        "JSON in chunks" to { id -> head(id, type = "application/json").chunked(ERROR_TEXT) },
        "JSON without framing" to { id -> head(id, type = "application/json").unframed(ERROR_TEXT) },
        "JSON that ends with an empty line" to
            { id -> head(id, type = "application/json").chunked("$ERROR_TEXT\n\n") },
        "no events, length 0" to { id -> head(id).sized("") },
        "no events, chunks" to { id -> head(id).chunked("") },
        "no events, no framing" to { id -> head(id).unframed("") },
        "a comment only" to { id -> head(id).chunked(COMMENT) },
        "bytes without a head" to { ERROR_TEXT },
        "an error's head in place of the events" to { id -> head(id).chunked(ERROR_HEAD) },
        "an error's head after an event" to { id -> head(id).chunked(event(id, SENT_EVENTS) + ERROR_HEAD) },
        "an error's head after an event, no framing" to
            { id -> head(id).unframed(event(id, SENT_EVENTS) + ERROR_HEAD) },
        "an error's head within an event" to
            { id -> head(id).chunked("id: 4\ndata: $id" + ERROR_HEAD + "\n\n") },
        "an error's head between chunks" to
            { id -> head(id) + "transfer-encoding: chunked\r\n\r\n" + chunk(event(id, SENT_EVENTS)) + ERROR_HEAD },
        "an error as an event without a number" to
            { id -> head(id).chunked(event(id, SENT_EVENTS) + "event: error\ndata: of no request\n\n") },
        "an error as the end of an event" to
            { id -> head(id).chunked("id: 4\ndata: $id-4\n$ERROR_TEXT\n\n") },
        "a number too low" to { id -> head(id).chunked(events(id, SENT_EVENTS - 1)) },
        "a number too high" to { id -> head(id).chunked(events(id, SENT_EVENTS + 1)) },
        "no numbers" to { id -> head(id).chunked(events(id, SENT_EVENTS).replace(Regex("id: .\n"), "")) },
        "a gap" to { id -> head(id).chunked(event(id, SENT_EVENTS) + event(id, SENT_EVENTS + 2)) },
        "the stream from its start" to { id -> head(id).chunked(events(id)) },
        "two events joined into one" to
            { id -> head(id).chunked("id: 4\n" + "id: 0\ndata: of no request\n\n" + event(id, EVENTS - 1)) },
        "an event cut off in a body that is whole" to
            { id -> head(id).chunked(events(id, SENT_EVENTS).dropLast(1)) },
        "encoded bytes" to
            { id -> head(id, more = "content-encoding: gzip\r\n").chunked("\u001f\u008b\u0008of no request\n\n\n\n") },
        "encoded bytes that look like events" to
            { id -> head(id, more = "content-encoding: br\r\n").chunked(events(id, SENT_EVENTS)) },
        "events of another content type" to
            { id -> head(id, type = "text/plain").chunked(events(id, SENT_EVENTS)) },
        "the rest and a second response" to { id -> head(id).chunked(events(id, SENT_EVENTS)) + ERROR_HEAD },
    )

/** Answers that do continue the stream, and what the caller gets then after the first four events. */
private val SOUND_CONTINUATIONS: Map<String, Pair<(String) -> String, (String) -> String>> =
    mapOf<String, Pair<(String) -> String, (String) -> String>>(
        "in chunks" to ({ id: String -> head(id).chunked(events(id, SENT_EVENTS)) } to { events(it, SENT_EVENTS) }),
        "of a length" to ({ id: String -> head(id).sized(events(id, SENT_EVENTS)) } to { events(it, SENT_EVENTS) }),
        "without framing" to
            ({ id: String -> head(id).unframed(events(id, SENT_EVENTS)) } to { events(it, SENT_EVENTS) }),
        "of other weights" to
            (
                { id: String ->
                    head(id, more = "x-agatestream-weight-versions: 2\r\n")
                        .chunked("x-agatestream-weight-versions: 2\n" + events(id, SENT_EVENTS))
                } to { "x-agatestream-weight-versions: 2\n" + events(it, SENT_EVENTS) }
            ),
        "after interim heads" to
            (
                { id: String ->
                    "HTTP/1.1 103 Early Hints\r\nlink: <of-no-request>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
                        head(id).chunked(events(id, SENT_EVENTS))
                } to { events(it, SENT_EVENTS) }
            ),
    )

/** What a first server sends in one body after four of its events, where the body is whole by its framing. */
private val BODY_FAULTS: Map<String, (String) -> String> =
    mapOf(
        "an error's text" to { ERROR_TEXT },
        "an error's text and an empty line" to { "$ERROR_TEXT\n\n" },
        "an error's head" to { ERROR_HEAD },
        "an error's head within an event" to { "id: 4\ndata: $it$ERROR_HEAD\n\n" },
        "an error as an event without a number" to { "event: error\ndata: of no request\n\n" },
        "a gap" to { event(it, SENT_EVENTS + 1) },
        "an event again" to { events(it, SENT_EVENTS - 1) },
        "the stream from its start" to { events(it) },
        "half an event" to { "id: 4\ndata: of no re" },
        "two events joined into one" to { "id: 4\ndata: $it-4\nid: 5\ndata: $it-5\n\n" },
    )

/**
 * Guards against a stream that breaks off and goes on with another server's error, or ends as whole without its last
 * event.
 */
class BrokenStreamTest :
    FunSpec({
        timeout = 60_000
        val scripts = RawScripts(::sound)
        val rawServers = List(SERVERS) { RawServer(scripts) }
        val fleet = PlatformFleet(listOf("a"), manifest = BROKEN_MANIFEST)
        val count = AtomicInteger()

        fun nextId() = "q${count.incrementAndGet()}q"

        suspend fun call(
            path: String,
            id: String,
            lastEvent: Int? = null,
        ): RawReceived {
            val headers =
                mapOf("host" to "h.example", "api-key" to "secret-key", "x-agatestream-attempt-id" to id) +
                    lastEvent?.let { mapOf("last-event-id" to "$it") }.orEmpty()
            return withContext(Dispatchers.IO) { RawCaller.get(fleet.callerAddress(0), path, headers) }
        }

        beforeSpec {
            fleet.start()
            rawServers.forEachIndexed { number, server ->
                val entry =
                    """{"Service":"raw","Address":"${server.address}","Zone":"d","Slots":4,"State":"ready"}"""
                fleet.store.put("servers", "raw-$number", entry)
            }
        }

        // Servers that failed before are left out for a while.
        beforeEach {
            eventually(FLEET_TIMEOUT) { call("/raw/1", nextId()).isWhole shouldBe true }
        }

        afterSpec {
            fleet.vms.forEach { it.stop() }
            rawServers.forEach { it.close() }
            fleet.close()
        }

        /** Calls until [runs] servers were asked, and returns the id and what the caller received. */
        suspend fun callUntilRun(
            path: String,
            runs: Int,
            answer: (RawRun) -> String,
        ): Pair<String, RawReceived> {
            var last: Pair<String, RawReceived>? = null
            eventually(FLEET_TIMEOUT) {
                val id = nextId()
                scripts.set(id, answer)
                last = id to call(path, id)
                scripts.runsOf(id).size shouldBeGreaterThan runs - 1
            }
            return last.shouldNotBeNull()
        }

        fun checkHonest(
            id: String,
            received: RawReceived,
        ) = withClue("$received") {
            if (received.status == 200) {
                val body = received.body.replace(COMMENT, "")
                events(id) shouldStartWith body
                if (received.isWhole) body shouldBe events(id)
            }
        }

        for ((name, continuation) in CONTINUATIONS) {
            for ((framing, begin) in mapOf("chunks" to { it -> cut(it) }, "a length" to ::cutOfLength)) {
                test("a caller's stream in $framing that broke off holds nothing of the next answer: $name") {
                    val (id, received) =
                        callUntilRun("/raw/1", runs = 2) { if (it.number == 0) begin(it) else continuation(it.id) }
                    received.status shouldBe 200
                    received.body shouldStartWith events(id, until = SENT_EVENTS)
                    checkHonest(id, received)
                    scripts.runsOf(id)[1].lastEvent shouldBe SENT_EVENTS - 1
                }
            }

            test("a stream that may not be resumed ends broken at its only server: $name") {
                val (id, received) =
                    callUntilRun("/once/1", runs = 1) { if (it.number == 0) cut(it) else continuation(it.id) }
                received shouldBe RawReceived(200, events(id, until = SENT_EVENTS), isWhole = false)
                scripts.runsOf(id).size shouldBe 1
            }

            test("an item's result is whole and holds nothing of an answer that does not continue it: $name") {
                val item = nextId()
                scripts.set(item) {
                    when (it.number) {
                        0 -> cut(it)
                        1 -> continuation(it.id)
                        else -> sound(it)
                    }
                }
                val text = (0 until EVENTS).joinToString("\\n") { "$item-$it" }
                val job = "job-$item"
                val body = """{"Requests":[{"Id":"$item","Path":"/rawlot/1","Body":"YQ==","Tokens":10}]}"""
                fleet.send(0, "POST", "/rawlot/j", id = job, body = body).first shouldBe 202
                eventually(FLEET_TIMEOUT) {
                    val (_, listed) = fleet.send(0, "GET", "/-/lots/$job?After=0")
                    listed shouldContain "\"Next\":1"
                    // A 422 says that the item can never be done.
                    listed shouldContain (if (name == "status 422") "dead_letter" else "\"$text\"")
                    listed shouldNotContain "of no request"
                }
                scripts.runsOf(item).size shouldBeLessThanOrEqualTo MAX_ITEM_RUNS
            }
        }

        for ((name, case) in SOUND_CONTINUATIONS) {
            val (continuation, rest) = case
            test("a stream that broke off is continued: $name") {
                val (id, received) =
                    callUntilRun("/raw/1", runs = 2) { if (it.number == 0) cut(it) else continuation(it.id) }
                received shouldBe RawReceived(200, events(id, until = SENT_EVENTS) + rest(id), isWhole = true)
            }
        }

        for ((name, fault) in BODY_FAULTS) {
            for (path in listOf("/raw/1", "/once/1")) {
                test("a stream holds nothing of what its server sends after its events: $name, $path") {
                    for (frame in FRAMES) {
                        for (pause in listOf("", RawServer.PAUSE)) {
                            val (id, received) =
                                callUntilRun(path, runs = 1) {
                                    frame(head(it.id), events(it.id, until = SENT_EVENTS), pause, fault(it.id))
                                }
                            checkHonest(id, received)
                        }
                    }
                }
            }
        }

        // Nothing shows that the stream has ended: a faulty server answers the same after any event.
        test("a stream that broke off after its last event ends broken, and a caller may ask for its end") {
            val (id, received) =
                callUntilRun("/raw/1", runs = 2) { if (it.number == 0) cut(it, sent = EVENTS) else sound(it) }
            received shouldBe RawReceived(200, events(id), isWhole = false)
            eventually(FLEET_TIMEOUT) {
                call("/raw/1", nextId(), lastEvent = EVENTS - 1) shouldBe RawReceived(200, "", isWhole = true)
            }
        }

        for ((framing, end) in mapOf("length 0" to String::sized, "chunks" to String::chunked)) {
            test("a caller that resumes a stream after its last event gets the server's empty answer: $framing") {
                eventually(FLEET_TIMEOUT) {
                    val id = nextId()
                    scripts.set(id) { end(head(it.id), "") }
                    call("/raw/1", id, lastEvent = EVENTS - 1) shouldBe RawReceived(200, "", isWhole = true)
                }
            }
        }

        // Guards against an item that is asked for again and again, as a sound server has nothing left to send.
        for ((framing, frame) in mapOf<String, String.(String) -> String>(
            "length" to String::sized,
            "chunks" to String::chunked,
            "no framing" to String::unframed,
        )) {
            test("an item whose run broke off after its last event is run from its start once: $framing") {
                val item = nextId()
                scripts.set(item) {
                    if (it.number == 0) {
                        cut(it, sent = EVENTS)
                    } else {
                        head(it.id).frame(events(it.id, (it.lastEvent ?: -1) + 1))
                    }
                }
                val job = "job-$item"
                val body = """{"Requests":[{"Id":"$item","Path":"/rawlot/1","Body":"YQ==","Tokens":10}]}"""
                fleet.send(0, "POST", "/rawlot/j", id = job, body = body).first shouldBe 202
                eventually(FLEET_TIMEOUT) {
                    fleet.send(0, "GET", "/-/lots/$job?After=0").second shouldContain
                        "\"${(0 until EVENTS).joinToString("\\n") { "$item-$it" }}\""
                }
                scripts.runsOf(item).map { it.lastEvent } shouldBe listOf(null, EVENTS - 1, null)
            }
        }

        // Guards against a run from the start whose events are thrown away for the older ones that it replaced.
        test("an item that is run from its start and breaks off again goes on from there") {
            val item = nextId()
            scripts.set(item) {
                when (it.number) {
                    0 -> cut(it, sent = EVENTS)
                    1 -> head(it.id).chunked("")
                    2 -> cut(it)
                    else -> sound(it)
                }
            }
            val job = "job-$item"
            val body = """{"Requests":[{"Id":"$item","Path":"/rawlot/1","Body":"YQ==","Tokens":10}]}"""
            fleet.send(0, "POST", "/rawlot/j", id = job, body = body).first shouldBe 202
            eventually(FLEET_TIMEOUT) {
                fleet.send(0, "GET", "/-/lots/$job?After=0").second shouldContain
                    "\"${(0 until EVENTS).joinToString("\\n") { "$item-$it" }}\""
            }
            scripts.runsOf(item).map { it.lastEvent } shouldBe listOf(null, EVENTS - 1, null, SENT_EVENTS - 1)
        }

        test("an item's result is not an answer without events: length 0") {
            val item = nextId()
            scripts.set(item) { if (it.number == 0) head(it.id).sized("") else sound(it) }
            val body = """{"Requests":[{"Id":"$item","Path":"/rawlot/1","Body":"YQ==","Tokens":10}]}"""
            fleet.send(0, "POST", "/rawlot/j", id = "job-$item", body = body).first shouldBe 202
            eventually(FLEET_TIMEOUT) {
                fleet.send(0, "GET", "/-/lots/job-$item?After=0").second shouldContain
                    "\"${(0 until EVENTS).joinToString("\\n") { "$item-$it" }}\""
            }
        }

        // Guards against a body in another form than its server's, as callers ask for none.
        for (path in listOf("/raw/1", "/once/1", "/safe/1")) {
            test("an answer with an encoded body is not passed on: $path") {
                val (_, received) =
                    callUntilRun(path, runs = 1) {
                        head(it.id, more = "content-encoding: gzip\r\n").chunked(events(it.id))
                    }
                received.status shouldBe 502
            }
        }
    })
