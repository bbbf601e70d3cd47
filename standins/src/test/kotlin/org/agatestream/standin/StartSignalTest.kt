package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

// Guards against a VM that listens before it handles signals, so that SIGHUP ends it and SIGTERM cuts its callers.
class StartSignalTest :
    FunSpec({
        timeout = 120_000

        test("a VM that is told to read its settings as it begins to listen goes on and serves") {
            fleet("hang-up").use { fleet ->
                fleet.start()
                val vm = fleet.vms.single()
                repeat(STARTS) {
                    vm.process.killAndWait()
                    fleet.start(vm)
                    awaitListening(vm)
                    vm.process.hangUp()
                    eventually(READY_TIMEOUT) {
                        vm.process.exitStatus shouldBe null
                        fleet.isReady(vm).shouldBeTrue()
                    }
                }
            }
        }

        test("a VM that is stopped as it begins to listen stops in order") {
            fleet("stop").use { fleet ->
                fleet.start()
                val vm = fleet.vms.single()
                repeat(STARTS) {
                    vm.process.killAndWait()
                    fleet.start(vm)
                    awaitListening(vm)
                    vm.process.stop()
                    eventually(FleetProcesses.GRACE) { vm.process.exitStatus shouldBe 0 }
                    vm.process.log.readText() shouldContain "event=stopped"
                }
            }
        }
    })

private const val STARTS = 3
private const val POLL_MILLIS = 1L
private const val LISTENING_TIMEOUT_MILLIS = 10_000
private val READY_TIMEOUT = 20.seconds

private fun fleet(name: String) =
    FleetProcesses(
        names = listOf("vm"),
        servers = listOf(PlatformServerStandIn("i-1")),
        manifest = MANIFEST,
        directory = File("target/start-signal/$name"),
    )

/** Waits for the first address on which a starting VM listens. */
private fun awaitListening(vm: FleetProcesses.Vm) {
    val host = vm.config.peerAddress.substringBefore(':')
    val port =
        vm.config.peerAddress
            .substringAfter(':')
            .toInt()
    repeat(LISTENING_TIMEOUT_MILLIS) {
        try {
            return Socket().use { it.connect(InetSocketAddress(host, port)) }
        } catch (_: IOException) {
            Thread.sleep(POLL_MILLIS)
        }
    }
    error("the VM does not listen")
}
