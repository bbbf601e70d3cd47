package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import org.agatestream.core.MonotonicTime
import java.io.File
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ITEMS = 8
private const val ITEM_BYTES = 200_000

// The object of the job takes 4.3 s on its way.
private const val LINK_BYTES_PER_SECOND = 500_000L
private const val SLOW_VM = "vm-slow"

// The store takes the object of the job before its caller is answered.
private const val ANSWER_TIMEOUT_MILLIS = 10_000
private const val JOB = "0123456789abcdef"

// By the rules of the platform, after which no item of an ended job may reach a server.
private val CANCEL_BOUND = 3.seconds
private val OBSERVED = 7.seconds
private val ORDERS_SENT = 150.milliseconds
private val START_TIMEOUT = 20.seconds

private fun jobBody(): String {
    val body = Base64.getEncoder().encodeToString(ByteArray(ITEM_BYTES))
    val items = List(ITEMS) { """{"Id":"i$it","Path":"/lot/$it","Body":"$body","Tokens":10}""" }
    return """{"Requests":[${items.joinToString(",")}]}"""
}

private fun FleetProcesses.Vm.exchange(
    line: String,
    body: String = "",
): String {
    val headers = "host: h.example\r\nconnection: close\r\napi-key: secret-key\r\nx-agatestream-attempt-id: $JOB\r\n"
    return StreamCaller.exchange(
        config.callerAddress,
        "$line HTTP/1.1\r\n${headers}content-length: ${body.length}\r\n\r\n$body",
        ANSWER_TIMEOUT_MILLIS,
    )
}

class EndedJobProcessTest :
    FunSpec({
        timeout = 90_000

        // Items that waited for their bodies were sent though their job had ended, as the VM that ordered them was killed.
        test("EndedInGap: no item of a job that ends just after the coordinator was killed is sent late") {
            val servers = List(3) { PlatformServerStandIn("i-$it") }
            val links = mapOf(SLOW_VM to LINK_BYTES_PER_SECOND)
            val names = listOf("vm-0", "vm-1", SLOW_VM)
            FleetProcesses(names, servers, MANIFEST, File("target/ended-job"), links).use { fleet ->
                fleet.start()
                val coordinator = fleet.coordinator().shouldNotBeNull()
                val caller = fleet.vms.first { it != coordinator && it.config.name != SLOW_VM }
                eventually(START_TIMEOUT) { caller.exchange("GET /-/lots/none?After=0") shouldStartWith "HTTP/1.1 404" }
                caller.exchange("POST /lot/$JOB", jobBody()) shouldStartWith "HTTP/1.1 202"
                delay(ORDERS_SENT)
                coordinator.process.killAndWait()
                caller.exchange("DELETE /-/lots/$JOB") shouldStartWith "HTTP/1.1 200"
                val endedAt = MonotonicTime.now()
                delay(OBSERVED)
                val started = servers.flatMap { it.started.entries }.associate { it.key to it.value - endedAt }
                withClue("started after the end: $started") {
                    started.count { it.value.isNegative() } shouldBeLessThan ITEMS
                    started.filterValues { it > CANCEL_BOUND }.entries.shouldBeEmpty()
                }
            }
        }
    })
