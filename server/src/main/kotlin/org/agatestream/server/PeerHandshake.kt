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

/** The first message of either side: who it is and what the other side must sign. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class PeerHello(
    val vm: VmId,
    @ByteString val nonce: ByteArray,
)

/** The second message of either side: the proof that it knows the fleet secret. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class PeerProof(
    @ByteString val mac: ByteArray,
)

/** Proves to the other side of a new connection that this VM knows the fleet secret, and has it prove the same. */
internal class PeerHandshake(
    private val self: VmId,
    private val secret: ByteArray,
    private val random: SecureRandom = SecureRandom(),
) {
    /** Returns the VM at the other end; throws an [IOException] if it does not prove the secret. */
    suspend fun run(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        isDialler: Boolean,
    ): VmId {
        val own = PeerHello(self, ByteArray(NONCE_BYTES).also(random::nextBytes))
        output.writeFrame(PeerHello.serializer().toCbor(own))
        val other = PeerHello.serializer().parseCbor(input.readFrame(MAX_HELLO_BYTES))
        if (other.nonce.size != NONCE_BYTES) throw IOException("nonce of ${other.nonce.size} bytes")
        val transcript = if (isDialler) listOf(own, other) else listOf(other, own)
        // The acceptor proves first: a VM that was dialled in error never sees the dialler's proof.
        if (!isDialler) output.writeFrame(PeerProof.serializer().toCbor(transcript.toProof(isDialler = false)))
        val proof = PeerProof.serializer().parseCbor(input.readFrame(MAX_HELLO_BYTES))
        val expected = transcript.toProof(!isDialler)
        if (!MessageDigest.isEqual(proof.mac, expected.mac)) throw IOException("the fleet secret was not proved")
        if (isDialler) output.writeFrame(PeerProof.serializer().toCbor(transcript.toProof(isDialler = true)))
        return other.vm
    }

    private fun List<PeerHello>.toProof(isDialler: Boolean): PeerProof {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(SecretKeySpec(secret, MAC_ALGORITHM))
        mac.update(if (isDialler) 1 else 0)
        for (hello in this) {
            mac.update(hello.nonce)
            mac.update(hello.vm.value.encodeToByteArray())
            mac.update(0)
        }
        return PeerProof(mac.doFinal())
    }
}
