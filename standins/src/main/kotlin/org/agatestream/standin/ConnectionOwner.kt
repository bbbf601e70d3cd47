package org.agatestream.standin

import java.io.File
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Finds the process that opened a local TCP connection by reading `/proc`. */
internal object ConnectionOwner {
    /** Returns which of [pids] owns the connection from [fromPort] to [toPort], or null. */
    fun find(
        fromPort: Int,
        toPort: Int,
        pids: Collection<Long>,
    ): Long? {
        val inode = inodeOf(fromPort, toPort) ?: return null
        return pids.firstOrNull { hasOpen(it, "socket:[$inode]") }
    }

    private fun inodeOf(
        fromPort: Int,
        toPort: Int,
    ): String? {
        val from = portSuffix(fromPort)
        val to = portSuffix(toPort)
        return listOf("/proc/net/tcp", "/proc/net/tcp6")
            .flatMap { File(it).readLines().drop(1) }
            .map { it.trim().split(WHITESPACE) }
            .firstOrNull { it[LOCAL_COLUMN].endsWith(from) && it[REMOTE_COLUMN].endsWith(to) }
            ?.get(INODE_COLUMN)
    }

    private fun portSuffix(port: Int): String = ":%04X".format(port)

    private fun hasOpen(
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
    private const val LOCAL_COLUMN = 1
    private const val REMOTE_COLUMN = 2
    private const val INODE_COLUMN = 9
}
