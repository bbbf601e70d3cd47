package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Queueing at 12 servers of which one is slow, one cold and one restarts silently; 12 VMs choose by one policy. */
internal class ChoiceModel(
    /** Null chooses by the true load of the servers. */
    private val policy: ChoicePolicy?,
    seed: Long,
    private val perSecond: Double,
) {
    private val random = Random(seed)
    private val queue = EventQueue()
    private val servers = List(SERVERS) { Server(it) }
    private val vms = List(VMS) { Vm() }
    private val latencies = ArrayList<Duration>()

    /** Returns the 99th percentile of the times to the end of an answer. */
    fun run(length: Duration): Duration {
        queue.after(Duration.ZERO, ::arrive)
        queue.after(Duration.ZERO, ::report)
        queue.at(length / 2) { servers[RESTARTED].warm = 0 }
        queue.runUntil(length)
        return latencies.sorted()[latencies.size * 99 / 100]
    }

    private fun arrive() {
        vms.random(random).send()
        queue.after(random.nextGap(perSecond), ::arrive)
    }

    private fun report() {
        val loads = servers.map { it.running }
        queue.after(LAG) { vms.forEach { vm -> vm.reported = loads.mapIndexed { i, load -> load to vm.own[i] } } }
        queue.after(1.seconds, ::report)
    }

    private class Server(
        val number: Int,
    ) {
        var running = 0
        var warm = if (number == COLD) 0 else WARM

        fun expected(): Duration {
            val cold = if (warm < WARM && running > 2) 4.0 else 1.0
            return STEP * (1 + running / 8.0) * cold * (if (number == SLOW) 3.0 else 1.0)
        }
    }

    private inner class Vm {
        val own = IntArray(SERVERS)
        private val watches = Array(SERVERS) { LatencyWatch() }
        var reported: List<Pair<Int, Int>> = emptyList()

        fun send() {
            val server = if (policy == null) servers.minBy { it.expected() } else servers[choose(policy)]
            server.running++
            own[server.number]++
            val took = server.expected() * random.nextDouble(0.8, 1.2)
            val began = queue.time
            queue.after(took) {
                server.running--
                own[server.number]--
                server.warm++
                watches[server.number] =
                    watches[server.number].answered(queue.time - began, MonotonicTime(0) + queue.time)
                latencies += queue.time - began
            }
        }

        private fun choose(policy: ChoicePolicy): Int {
            val views =
                servers.map {
                    ServerView(
                        id = BackendServerId("${it.number}"),
                        own = own[it.number],
                        reported = reported.getOrNull(it.number)?.first,
                        ownThen = reported.getOrNull(it.number)?.second ?: 0,
                        slots = 32,
                        latency = watches[it.number].recent(MonotonicTime(0) + queue.time),
                    )
                }
            return checkNotNull(policy.choose(views, random)).value.toInt()
        }
    }

    private companion object {
        const val SERVERS = 12
        const val VMS = 12
        const val SLOW = 0
        const val COLD = 1
        const val RESTARTED = 2
        const val WARM = 40
        val STEP = 200.milliseconds
        val LAG = 500.milliseconds
    }
}
