package org.agatestream.server

import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.atomic.LongAdder

/** Counts the traffic between this VM and other VMs. */
internal class PeerTraffic(
    registry: MeterRegistry,
) {
    val sentBytes = LongAdder()
    val receivedBytes = LongAdder()
    val sentFrames = LongAdder()
    val sentMessages = LongAdder()
    val dropped = LongAdder()

    init {
        register(registry, "agatestream.peer.sent.bytes", sentBytes)
        register(registry, "agatestream.peer.received.bytes", receivedBytes)
        register(registry, "agatestream.peer.sent.frames", sentFrames)
        register(registry, "agatestream.peer.sent.messages", sentMessages)
        register(registry, "agatestream.peer.dropped", dropped)
    }

    private fun register(
        registry: MeterRegistry,
        name: String,
        adder: LongAdder,
    ) {
        io.micrometer.core.instrument.FunctionCounter
            .builder(name, adder) { it.sum().toDouble() }
            .register(registry)
    }
}
