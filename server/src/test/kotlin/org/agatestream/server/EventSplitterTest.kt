package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private fun event(text: String): StreamEvent = EventSplitter().feed(text.encodeToByteArray()).single()

class EventSplitterTest :
    FunSpec({
        val stream = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\ndata:  c\r\n\r\nid: 2\ndata: d"

        test("events end at empty lines, however the bytes are chunked") {
            for (size in 1..stream.length) {
                val splitter = EventSplitter()
                val events = stream.chunked(size).flatMap { splitter.feed(it.encodeToByteArray()) }
                events.map { it.id } shouldContainExactly listOf(0L, 1L)
                events.map { it.data() } shouldContainExactly listOf("a", "b\n c")
                (events.joinBytes() + splitter.remainder).decodeToString() shouldBe stream
            }
        }

        test("an event over 1 MiB is too long, any number of smaller events is not") {
            val splitter = EventSplitter()
            val event = ("data: " + "x".repeat(100_000) + "\n\n").encodeToByteArray()
            repeat(20) { splitter.feed(event).size shouldBe 1 }
            splitter.isEventTooLong shouldBe false
            val chunk = ByteArray(64 * 1024) { 'x'.code.toByte() }
            repeat(17) { splitter.feed(chunk).size shouldBe 0 }
            splitter.isEventTooLong shouldBe true
        }

        test("an event without a number or data has neither") {
            val event = EventSplitter().feed(": comment\n\n".encodeToByteArray()).single()
            event.id shouldBe null
            event.data() shouldBe null
            event.follows(3) shouldBe true
        }

        // Guards against text in an answer that no server made for it: servers number all events with data.
        test("an event with data follows another one only by its number") {
            event("id: 4\ndata: a\n\n").follows(3) shouldBe true
            event("id: 5\ndata: a\n\n").follows(3) shouldBe false
            event("data: a\n\n").follows(3) shouldBe false
            event("data: a\n\n").follows(null) shouldBe false
        }

        // Guards against an answer with another response, or a part of one, in its middle.
        test("an event with a line that belongs to no event follows none") {
            val foreign =
                listOf(
                    "HTTP/1.1 200 OK\r\n\r\n",
                    "id: 4\ndata: aHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n",
                    "id: 4\nword\n\n",
                )
            for (text in foreign) event(text).follows(3) shouldBe false
            event(": comment\nid: 4\nevent: token\nretry: 5\ndata\n\n").follows(3) shouldBe true
            event("x-agatestream-weight-versions: 3\nid: 4\ndata: a\n\n").follows(3) shouldBe true
        }

        // Guards against text of another event, where one breaks off at the end of a line and another goes on there.
        test("an event with two numbers follows none") {
            for (text in listOf("id: 4\nid: 0\ndata: a\n\n", "id: 4\ndata: a\nid: 5\ndata: b\n\n")) {
                event(text).follows(3) shouldBe false
            }
        }
    })
