package org.agatestream.server

import kotlinx.serialization.Serializable
import java.io.IOException

/**
 * The operator and server rows that a VM knows, as far as the receiver lacks them.
 *
 * Older builds send rows that are not packed and require these fields, so they stay; version 0 is news to nobody.
 */
@Serializable
internal class PlatformSnapshot(
    val operatorVersion: Long,
    val operatorRows: List<SnapshotRow>,
    val serverVersion: Long,
    val serverRows: List<SnapshotRow>,
    /** The operator rows; null if the receiver has them. */
    val operators: PackedRows? = null,
    /** The server rows; null if the receiver has them. */
    val servers: PackedRows? = null,
) {
    /** Returns the operator rows if they are newer than [version]. */
    fun operatorsSince(version: Long): VersionedRows? = since(version, operators, operatorVersion, operatorRows)

    /** Returns the server rows if they are newer than [version]. */
    fun serversSince(version: Long): VersionedRows? = since(version, servers, serverVersion, serverRows)

    private fun since(
        version: Long,
        packed: PackedRows?,
        plainVersion: Long,
        plainRows: List<SnapshotRow>,
    ): VersionedRows? =
        when {
            packed != null && packed.version > version -> unpack(packed)
            plainVersion > version -> VersionedRows(plainVersion, plainRows)
            else -> null
        }

    private fun unpack(packed: PackedRows): VersionedRows? =
        try {
            VersionedRows(packed.version, packed.unpack())
        } catch (e: IOException) {
            logUnreadable(e)
        } catch (e: IllegalArgumentException) {
            // Malformed CBOR.
            logUnreadable(e)
        }

    private fun logUnreadable(e: Exception): VersionedRows? {
        EventLog.warn("snapshot_unreadable", "reason" to e.message)
        return null
    }

    companion object {
        /** Returns a snapshot of the tables that the receiver lacks; null for one that it has. */
        fun of(
            operators: PackedRows?,
            servers: PackedRows?,
        ): PlatformSnapshot = PlatformSnapshot(0, emptyList(), 0, emptyList(), operators, servers)
    }
}

/** All rows of a table at a version of the store. */
internal class VersionedRows(
    val version: Long,
    val rows: List<SnapshotRow>,
)
