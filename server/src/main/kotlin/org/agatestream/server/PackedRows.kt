package org.agatestream.server

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.ByteString
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * All rows of a table at a version of the store, compressed.
 *
 * A manifest of 1,400 routes has 400 KB. On the slowest links that takes longer than a VM waits for an answer, so VMs that
 * did not reach the store asked again and again, and those that answered had no time for anything else.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class PackedRows(
    val version: Long,
    @ByteString private val content: ByteArray,
) {
    /** Returns the rows; throws an [IOException] or an [IllegalArgumentException] if they can't be read. */
    fun unpack(): List<SnapshotRow> {
        val bytes = InflaterInputStream(ByteArrayInputStream(content)).use { it.readNBytes(MAX_UNPACKED_BYTES + 1) }
        if (bytes.size > MAX_UNPACKED_BYTES) throw IOException("rows of more than $MAX_UNPACKED_BYTES bytes")
        return ROWS.parseCbor(bytes)
    }

    companion object {
        private val ROWS = ListSerializer(SnapshotRow.serializer())

        // Some twenty times the largest manifest of today; a VM's heap is 128 MB.
        private const val MAX_UNPACKED_BYTES = 8 * 1024 * 1024

        /** Packs [rows], which are those of [version]. */
        fun of(
            version: Long,
            rows: Map<String, ByteArray>,
        ): PackedRows {
            val deflater = Deflater(Deflater.BEST_SPEED)
            val output = ByteArrayOutputStream()
            try {
                val bytes = ROWS.toCbor(rows.map { (key, value) -> SnapshotRow(key, value) })
                DeflaterOutputStream(output, deflater).use { it.write(bytes) }
            } finally {
                deflater.end()
            }
            return PackedRows(version, output.toByteArray())
        }
    }
}
