package org.agatestream.standin

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Allocates ports for processes that bind them later.
 *
 * The ports are below the ephemeral range, so that no outgoing connection takes one in the meantime.
 */
internal object FreePorts {
    private const val FIRST_PORT = 20_000
    private const val PORT_COUNT = 12_000
    private val next = AtomicInteger(Random.nextInt(PORT_COUNT))

    /** Returns the address of a free loopback port that was not allocated recently. */
    fun nextAddress(): String {
        while (true) {
            val port = FIRST_PORT + Math.floorMod(next.getAndIncrement(), PORT_COUNT)
            if (isFree(port)) return "127.0.0.1:$port"
        }
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
