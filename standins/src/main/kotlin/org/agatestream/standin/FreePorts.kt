package org.agatestream.standin

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Gives out ports for processes that bind them later.
 *
 * The ports lie below those that the system gives to outgoing connections, so that none of these takes one meanwhile.
 */
internal object FreePorts {
    private const val FIRST = 20_000
    private const val COUNT = 12_000
    private val next = AtomicInteger(Random.nextInt(COUNT))

    /** Returns the address of a port on loopback that is free and has not been given out lately. */
    fun nextAddress(): String {
        while (true) {
            val port = FIRST + Math.floorMod(next.getAndIncrement(), COUNT)
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
