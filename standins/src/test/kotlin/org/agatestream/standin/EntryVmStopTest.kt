package org.agatestream.standin

import io.kotest.assertions.fail
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId
import org.agatestream.http.parseAddress
import java.io.BufferedReader
import java.io.File
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

class EntryVmStopTest :
    FunSpec({
        timeout = 120_000

        // A VM closed its callers' idle connections without notice, so that a request sent at that moment was lost.
        test("a VM asked to terminate says on each connection that it closes it, while callers may use its address") {
            val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
            val files = FleetFiles(File("../cli/target/agatestream"), classPath, File("target/entry-vm-stop"))
            val spec = FleetSpec(vms = 2, domains = 2, engines = 1, entryTtlSeconds = TTL_SECONDS)
            Fleet(spec, files, usesRelays = false).use { fleet ->
                fleet.start()
                val vm = fleet.vm(VmId("vm-2"))
                val address = parseAddress(vm.listed.callerAddress)
                Socket(address.hostString, address.port).use { socket ->
                    socket.soTimeout = 10_000
                    val reader = socket.getInputStream().bufferedReader()
                    repeat(3) { socket.getEntries(reader) shouldNotContain "connection: close" }
                    fleet.publishVms(leaving = vm.listed.id)
                    val start = MonotonicTime.now()
                    vm.process.stop()
                    var head = ""
                    while ("connection: close" !in head) {
                        if (MonotonicTime.now() - start >
                            (TTL_SECONDS - 1).seconds
                        ) {
                            fail("the last response was: $head")
                        }
                        Thread.sleep(POLL_MILLIS)
                        head = socket.getEntries(reader)
                    }
                    head shouldContain "200 OK"
                    reader.read() shouldBe END_OF_STREAM
                }
            }
        }
    })

/** Requests the entry addresses and returns the head of the response in lower case but for its status line. */
private fun Socket.getEntries(reader: BufferedReader): String {
    getOutputStream().write("GET /v1/entries HTTP/1.1\r\nhost: vm\r\n\r\n".encodeToByteArray())
    val status = reader.readLine() ?: fail("the connection was closed without a response")
    val fields = generateSequence { reader.readLine().takeIf { it.isNotEmpty() } }.map { it.lowercase() }.toList()
    val length =
        fields
            .first { it.startsWith("content-length:") }
            .substringAfter(':')
            .trim()
            .toInt()
    repeat(length) { reader.read() }
    return (listOf(status) + fields).joinToString("\n")
}

private const val TTL_SECONDS = 6
private const val POLL_MILLIS = 50L
private const val END_OF_STREAM = -1
