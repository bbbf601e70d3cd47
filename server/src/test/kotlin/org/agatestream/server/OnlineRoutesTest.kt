package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class OnlineRoutesTest :
    FunSpec({
        test("a streamed completion arrives whole and in order") {
            OnlineFixture().use {
                val reply = it.complete(stream = true)
                reply.status shouldBe 200
                reply.whole shouldBe true
                reply.tokens() shouldBe listOf("t0 ", "t1 ", "t2 ", "t3 ", "t4 ")
                reply.text.trimEnd().endsWith("data: [DONE]") shouldBe true
            }
        }

        test("a whole completion and a chat completion are answered") {
            OnlineFixture().use {
                it.complete(stream = false).text shouldContain "\"text\":\"t0 t1 t2 t3 t4 \""
                val chat = it.complete(stream = false, "/v1/chat/completions")
                chat.text shouldContain "\"message\":{\"role\":\"assistant\",\"content\":\"t0 t1 t2 t3 t4 \"}"
            }
        }

        test("no backend server sees the key") {
            OnlineFixture().use {
                it.complete(stream = true)
                it.send("GET", "/services/wheels/length", "", "accept" to "x $KEY")
                it.send("GET", "/services/wheels/length?key=$KEY").status shouldBe 400
                it.send("POST", "/services/wheels/length", KEY).status shouldBe 400
                val seen = it.first.recorded + it.second.recorded
                seen.size shouldBe 2
                seen.none { call -> KEY in call.target + call.headers + call.body } shouldBe true
            }
        }
    })

private val tokenPattern = Regex("\"text\":\"(t\\d+ )\"")

fun Reply.tokens(): List<String> = tokenPattern.findAll(text).map { it.groupValues[1] }.toList()
