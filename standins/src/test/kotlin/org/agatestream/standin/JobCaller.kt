package org.agatestream.standin

import org.agatestream.core.MonotonicTime
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** A caller that submits a job after the other, and then waits until all items of the accepted ones are listed. */
internal class JobCaller(
    private val entries: List<String>,
) {
    private val accepted = ArrayList<String>()

    /** Jobs that were accepted with items that are not listed at the end; read after [run] has returned. */
    var unlisted: List<String> = emptyList()
        private set

    /** Submits jobs until [until] and waits for their items. */
    fun run(until: MonotonicTime) {
        var count = 0
        while (MonotonicTime.now() < until) {
            submit("job-${count++}")
            Thread.sleep(PAUSE_MILLIS)
        }
        val waitUntil = until + LISTING_TIMEOUT
        do {
            unlisted = accepted.filterNot { isListed(it) }
            Thread.sleep(PAUSE_MILLIS)
        } while (unlisted.isNotEmpty() && MonotonicTime.now() < waitUntil)
        println("jobs: accepted=${accepted.size} unlisted=$unlisted")
    }

    private fun submit(job: String) {
        val items = List(ITEMS) { """{"Id":"$job-i$it","Path":"/lot/$it","Body":"YQ==","Tokens":10}""" }
        val body = """{"Requests":[${items.joinToString(",")}]}"""
        repeat(ATTEMPTS) {
            val headers = "x-agatestream-attempt-id: $job\r\n" + HEADERS
            val answer = exchange("POST /lot/$job HTTP/1.1", headers, body) ?: return@repeat
            if (answer.startsWith("HTTP/1.1 202")) {
                accepted += job
                return
            }
        }
    }

    private fun isListed(job: String): Boolean {
        var listed = 0
        while (listed < ITEMS) {
            val answer = exchange("GET /-/lots/$job?After=$listed HTTP/1.1", HEADERS, "") ?: return false
            val next = NEXT.find(answer)?.let { it.groupValues[1].toInt() } ?: return false
            if (next <= listed) return false
            listed = next
        }
        return true
    }

    private fun exchange(
        line: String,
        headers: String,
        body: String,
    ): String? =
        try {
            StreamCaller.exchange(
                entries.random(),
                "$line\r\nhost: h.example\r\nconnection: close\r\n${headers}content-length: ${body.length}\r\n\r\n$body",
            )
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val ITEMS = 4
        const val ATTEMPTS = 20
        const val PAUSE_MILLIS = 300L
        const val HEADERS = "api-key: secret-key\r\n"
        val NEXT = Regex("\"Next\":(\\d+)")
        val LISTING_TIMEOUT = 20.seconds
    }
}
