package org.agatestream.server

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** The largest frame that a VM sends or accepts, in bytes. */
internal const val MAX_FRAME_BYTES: Int = 8 * 1024 * 1024

/** The size of a frame's length prefix, in bytes. */
internal const val FRAME_HEADER_BYTES: Int = Int.SIZE_BYTES

@OptIn(ExperimentalSerializationApi::class)
private val peerCbor = Cbor { ignoreUnknownKeys = true }

/** One message between two VMs. */
@Serializable
internal sealed interface PeerMessage {
    /** A request; [id] is unique among the sender's requests on the connection. */
    @Serializable
    @SerialName("ask")
    data class Request(
        val id: Long,
        @SerialName("ask")
        val request: PeerRequest,
    ) : PeerMessage

    /** The response to the request with the same [id]; null if the receiver has none. */
    @Serializable
    @SerialName("answer")
    data class Response(
        val id: Long,
        @SerialName("answer")
        val response: PeerResponse?,
    ) : PeerMessage
}

/** The content of a frame: one or more messages. */
@Serializable
internal class PeerFrame(
    val messages: List<PeerMessage>,
)

/** Encodes [value] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> KSerializer<T>.toCbor(value: T): ByteArray = peerCbor.encodeToByteArray(this, value)

/** Parses CBOR from [toCbor]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> KSerializer<T>.parseCbor(bytes: ByteArray): T = peerCbor.decodeFromByteArray(this, bytes)

/** Writes one length-prefixed frame and flushes it. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeFully(bytes)
    flush()
}

/** Reads one length-prefixed frame; throws an [IOException] if it is longer than [limit]. */
internal suspend fun ByteReadChannel.readFrame(limit: Int): ByteArray {
    val size = readInt()
    if (size !in 1..limit) throw IOException("frame of $size bytes, allowed are 1 to $limit")
    return readByteArray(size)
}
