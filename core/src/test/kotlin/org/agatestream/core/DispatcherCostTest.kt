package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 8
private const val WORKSPACES = 74
private const val WARM_UP_EVENTS = 600
private const val EVENTS = 2_000
private const val NANOS_PER_MICRO = 1_000.0

/** Measures the processor time of an event of the dispatcher; runs only with `-Dagatestream.measure=dispatch`. */
class DispatcherCostTest :
    FunSpec({
        test("processor time per event").config(enabled = System.getProperty("agatestream.measure") == "dispatch") {
            for (servers in listOf(40, 300)) {
                for (waiting in listOf(0, 200, 2_000)) {
                    println(
                        "dispatch servers=$servers waiting=$waiting micros=%.1f".format(
                            microsPerEvent(servers, waiting),
                        ),
                    )
                }
            }
        }
    })

/** Returns the mean processor time of a place or release, in microseconds, with a constant number of waiting requests. */
private fun microsPerEvent(
    servers: Int,
    waiting: Int,
): Double {
    val dispatcher = dispatcherOf(manifestOf(), *Array(servers) { serverOf("s$it", SLOTS) })
    var number = 0L
    var now = START
    val running = ArrayDeque<CallId>()

    fun place(): List<DispatchAction> {
        val workspace = WorkspaceId("w${number % WORKSPACES}")
        val request = requestOf(number++, now).copy(workspace = workspace, queueDeadline = now + 1_000.seconds)
        return dispatcher.place(request, now)
    }

    fun record(actions: List<DispatchAction>) = actions.placed().forEach { running += CallId(VM_A, it) }

    // With no waiting requests, half of the slots stay free.
    val initial = if (waiting == 0) servers * SLOTS / 2 else servers * SLOTS + waiting
    repeat(initial) { record(place()) }

    fun events(count: Int) {
        repeat(count / 2) {
            now += 100.microseconds
            record(place())
            record(dispatcher.release(running.removeFirst(), RunOutcome.ANSWERED, null, now))
        }
    }
    events(WARM_UP_EVENTS)
    val threads = ManagementFactory.getThreadMXBean()
    val before = threads.currentThreadCpuTime
    events(EVENTS)
    return (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / EVENTS
}
