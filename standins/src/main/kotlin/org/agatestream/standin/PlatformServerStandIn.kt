package org.agatestream.standin

import kotlinx.coroutines.delay
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Stands in for a backend server of the users' platform that answers with a stream of events. */
internal class PlatformServerStandIn(
    private val id: String,
    private val events: Int = 5,
    private val pause: Duration = 5.milliseconds,
) : AutoCloseable {
    private val server = StandInServer(::handle)

    /** The headers of every request that ran here. */
    val requests: MutableList<List<Pair<String, String>>> = CopyOnWriteArrayList()

    /** Listens on loopback and returns the port; 0 takes a free one. */
    fun listen(port: Int): Int = server.listen(port)

    override fun close(): Unit = server.close()

    private suspend fun handle(received: StandInCall) {
        val expected = received.header("x-agatestream-expect-instance")
        val requestId = received.header("x-agatestream-attempt-id").orEmpty()
        if (expected != null && expected != id) {
            return received.call.respond(
                MISDIRECTED,
                "text/plain",
                ByteArray(0),
                mapOf("x-agatestream-instance-id" to id),
            )
        }
        requests += received.call.headers()
        val first = (received.header("last-event-id")?.toIntOrNull() ?: -1) + 1
        val headers = mapOf("x-agatestream-attempt-id" to requestId, "x-agatestream-response-signature" to "signed")
        val writer = received.call.startStream(OK, "text/event-stream", headers)
        for (number in first until events) {
            if (!writer.write("id: $number\ndata: $requestId-$number\n\n".encodeToByteArray())) return
            delay(pause)
        }
        writer.finish()
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
    }
}
