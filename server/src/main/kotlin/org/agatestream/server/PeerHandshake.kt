package org.agatestream.server

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.agatestream.core.VmId
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val MAX_HELLO_BYTES = 1024
private const val NONCE_BYTES = 32
private const val MAC_ALGORITHM = "HmacSHA256"

/** The first message of either side: its id and the nonce that the other side must sign. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class PeerHello(
    val vm: VmId,
    @ByteString val nonce: ByteArray,
)

/** The second message of either side: a MAC that proves knowledge of the fleet secret. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class PeerProof(
    @ByteString val mac: ByteArray,
)

/** Mutual authentication of the two sides of a new connection by the fleet secret. */
internal class PeerHandshake(
    private val self: VmId,
    private val secret: ByteArray,
    private val random: SecureRandom = SecureRandom(),
) {
    /** Runs the handshake and returns the VM at the other end; throws an [IOException] if it is not authenticated. */
    suspend fun run(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        isInitiator: Boolean,
    ): VmId {
        val own = PeerHello(self, ByteArray(NONCE_BYTES).also(random::nextBytes))
        output.writeFrame(PeerHello.serializer().toCbor(own))
        val other = PeerHello.serializer().parseCbor(input.readFrame(MAX_HELLO_BYTES))
        if (other.nonce.size != NONCE_BYTES) throw IOException("nonce of ${other.nonce.size} bytes")
        val transcript = if (isInitiator) listOf(own, other) else listOf(other, own)
        // The acceptor proves first, so that a VM connected to by mistake never sees the initiator's proof.
        if (!isInitiator) output.writeFrame(PeerProof.serializer().toCbor(transcript.toProof(isInitiator = false)))
        val proof = PeerProof.serializer().parseCbor(input.readFrame(MAX_HELLO_BYTES))
        val expected = transcript.toProof(!isInitiator)
        if (!MessageDigest.isEqual(proof.mac, expected.mac)) throw IOException("the fleet secret was not proved")
        if (isInitiator) output.writeFrame(PeerProof.serializer().toCbor(transcript.toProof(isInitiator = true)))
        return other.vm
    }

    private fun List<PeerHello>.toProof(isInitiator: Boolean): PeerProof {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(SecretKeySpec(secret, MAC_ALGORITHM))
        mac.update(if (isInitiator) 1 else 0)
        for (hello in this) {
            mac.update(hello.nonce)
            mac.update(hello.vm.value.encodeToByteArray())
            mac.update(0)
        }
        return PeerProof(mac.doFinal())
    }
}
