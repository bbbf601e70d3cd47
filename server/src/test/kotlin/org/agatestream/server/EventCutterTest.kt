package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

class EventCutterTest :
    FunSpec({
        val stream = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\ndata:  c\r\n\r\nid: 2\ndata: d"

        test("events are cut at empty lines wherever the bytes are split") {
            for (size in 1..stream.length) {
                val cutter = EventCutter()
                val events = stream.chunked(size).flatMap { cutter.feed(it.encodeToByteArray()) }
                events.map { it.id } shouldContainExactly listOf(0L, 1L)
                events.map { it.data() } shouldContainExactly listOf("a", "b\n c")
                (events.joinBytes() + cutter.remainder).decodeToString() shouldBe stream
            }
        }

        test("an event of over 1 MiB is overlong, whole events of any number are not") {
            val cutter = EventCutter()
            val event = ("data: " + "x".repeat(100_000) + "\n\n").encodeToByteArray()
            repeat(20) { cutter.feed(event).size shouldBe 1 }
            cutter.isOverlong shouldBe false
            val chunk = ByteArray(64 * 1024) { 'x'.code.toByte() }
            repeat(17) { cutter.feed(chunk).size shouldBe 0 }
            cutter.isOverlong shouldBe true
        }

        test("an event without a number or data has neither") {
            val event = EventCutter().feed(": comment\n\n".encodeToByteArray()).single()
            event.id shouldBe null
            event.data() shouldBe null
        }
    })
