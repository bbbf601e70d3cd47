package org.agatestream.standin

import java.io.File
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Finds which process made a TCP connection on this machine, from what the system shows under `/proc`. */
internal object ConnectionOwner {
    /** Returns the one of [pids] that connected from [fromPort] to [toPort], or null. */
    fun find(
        fromPort: Int,
        toPort: Int,
        pids: Collection<Long>,
    ): Long? {
        val inode = inodeOf(fromPort, toPort) ?: return null
        return pids.firstOrNull { holds(it, "socket:[$inode]") }
    }

    private fun inodeOf(
        fromPort: Int,
        toPort: Int,
    ): String? {
        val from = portText(fromPort)
        val to = portText(toPort)
        return listOf("/proc/net/tcp", "/proc/net/tcp6")
            .flatMap { File(it).readLines().drop(1) }
            .map { it.trim().split(WHITESPACE) }
            .firstOrNull { it[LOCAL].endsWith(from) && it[REMOTE].endsWith(to) }
            ?.get(INODE)
    }

    private fun portText(port: Int): String = ":%04X".format(port)

    private fun holds(
        pid: Long,
        socket: String,
    ): Boolean =
        File("/proc/$pid/fd").listFiles().orEmpty().any { link ->
            try {
                Files.readSymbolicLink(Path.of(link.path)).toString() == socket
            } catch (_: IOException) {
                false
            }
        }

    private val WHITESPACE = Regex("\\s+")
    private const val LOCAL = 1
    private const val REMOTE = 2
    private const val INODE = 9
}
