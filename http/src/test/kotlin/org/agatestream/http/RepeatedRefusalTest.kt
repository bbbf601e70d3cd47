package org.agatestream.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val MARK = "x-agatestream-not-executed: 1"
private const val SEGMENT_CHARS = 9
private const val OTHER = "another"

private val REFUSALS =
    mapOf(
        "503 Service Unavailable" to listOf(MARK),
        "429 Too Many Requests" to listOf(MARK, "retry-after: 0.1"),
        "408 Request Timeout" to listOf(MARK),
        "421 Misdirected Request" to emptyList(),
    )

/** How the copy of a refusal says where it ends; the length need not be true. */
private val ENDS =
    mapOf(
        "with its length" to "content-length: 4\r\n\r\nfull",
        "in chunks" to "transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
        "without a body" to "content-length: 0\r\n\r\n",
        "with too short a length" to "content-length: 2\r\n\r\nfull",
        "with too long a length" to "content-length: 9\r\n\r\nfull",
        "with a length of more than the next response" to "content-length: 900\r\n\r\nfull",
        "with two lengths" to "content-length: 4\r\ncontent-length: 5\r\n\r\nfull",
        "without a length" to "\r\nfull",
        "in chunks without end" to "transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n",
        "with a head without end" to "x-more: value\r\n",
    )

/** Where the copy of the refusal stands on its connection. */
private enum class Place {
    WITH_THE_REFUSAL,
    BEFORE_THE_NEXT,
    IN_SEGMENTS_BEFORE_THE_NEXT,
    ACROSS_THE_NEXT,
    IN_THE_NEXT,
}

/**
 * A server that refuses the first request of its first connection, sends a copy of that refusal at [place], and runs all
 * other requests; counts its runs by id.
 */
private class RepeatingServer(
    private val status: String,
    private val copiedId: String?,
    private val end: String,
    private val place: Place,
) : AutoCloseable {
    val runs = ConcurrentHashMap<String, Int>()
    private val connections = AtomicInteger()
    private val server = RawServer { serve(it) }
    val address get() = server.address
    val isWithinNext get() = place == Place.IN_THE_NEXT

    override fun toString() = "the copy $end, id $copiedId, ${place.name.lowercase()}"

    private fun serve(socket: RawSocket) {
        if (connections.getAndIncrement() == 0) repeatRefusal(socket)
        while (true) socket.send(run(socket.readMessage().ifEmpty { return }))
    }

    private fun repeatRefusal(socket: RawSocket) {
        val id = requestId(socket.readMessage())
        val copy = refusal(copiedId, ENDS.getValue(end))
        val cut = copy.length / 2
        val before =
            if (place ==
                Place.WITH_THE_REFUSAL
            ) {
                copy
            } else if (place == Place.ACROSS_THE_NEXT) {
                copy.take(cut)
            } else {
                ""
            }
        socket.send(refusal(id, ENDS.getValue("with its length")) + before)
        val own = run(socket.readMessage().ifEmpty { return })
        when (place) {
            Place.WITH_THE_REFUSAL -> socket.send(own)
            Place.BEFORE_THE_NEXT -> socket.send(copy + own)
            Place.IN_SEGMENTS_BEFORE_THE_NEXT -> (copy + own).chunked(SEGMENT_CHARS).forEach { socket.send(it) }
            Place.ACROSS_THE_NEXT -> socket.send(copy.drop(cut) + own)
            Place.IN_THE_NEXT -> socket.send(own.dropLast(2) + copy + own.takeLast(2))
        }
        if (!end.startsWith("with its") && !end.startsWith("in chunks")) socket.socket.shutdownOutput()
    }

    private fun refusal(
        id: String?,
        rest: String,
    ) = (listOfNotNull("HTTP/1.1 $status", id?.let { "x-id: $it" }) + REFUSALS.getValue(status) + rest)
        .joinToString("\r\n")

    private fun run(request: String): String {
        val id = requestId(request)
        runs.merge(id, 1, Int::plus)
        return rawResponse("200 OK", "own $id", "x-id: $id")
    }

    override fun close() = server.close()
}

private fun repeatingServers(status: String): Sequence<RepeatingServer> =
    sequence {
        for (end in ENDS.keys) {
            for (copiedId in listOf("first", null, OTHER)) {
                for (place in Place.entries) yield(RepeatingServer(status, copiedId, end, place))
            }
        }
    }

/** Sends a request that is refused and two that run; each of these gets its own response or none. */
private suspend fun HttpClient.shouldReceiveOnlyRuns(
    server: RepeatingServer,
    status: String,
    next: String,
) {
    receive(server.address, "first") shouldBe "${status.substringBefore(" ")} full"
    for (id in listOf(next, "third")) {
        val answer = receive(server.address, id)
        answer?.substringBefore(" ") shouldBeIn listOf("200", null)
        // Within the next response, the copy is the server's own bytes.
        if (!server.isWithinNext) answer shouldBeIn listOf("200 own $id", null)
        (server.runs[id] ?: 0) shouldBeIn listOf(0, 1)
        if (answer != null) server.runs[id] shouldBe 1
    }
}

class RepeatedRefusalTest :
    FunSpec({
        timeout = 60_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        for (status in REFUSALS.keys) {
            for (next in listOf("second", "first")) {
                // Guards against "not run" for a request that its server ran: an earlier refusal sent once more, also to
                // the same request, sent again to its server.
                test("a copy of a $status is no response to the request after it, here $next") {
                    for (server in repeatingServers(status)) {
                        server.use { withClue("$it") { HttpClient(loops).shouldReceiveOnlyRuns(it, status, next) } }
                    }
                }
            }
        }
    })
