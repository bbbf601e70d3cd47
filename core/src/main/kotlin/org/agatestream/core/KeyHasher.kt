package org.agatestream.core

import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Hashes keys of callers and operators with HMAC-SHA-256 under the fleet secret.
 *
 * Without the secret nobody can predict the hash of a key, so the timing of a lookup by hash reveals nothing about
 * stored keys.
 */
public class KeyHasher(
    fleetSecret: ByteArray,
) {
    private val secret = SecretKeySpec(fleetSecret, ALGORITHM)

    /** Returns the keyed hash of [key]. */
    public fun hash(key: String): KeyHash {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(secret)
        return KeyHash(HexFormat.of().formatHex(mac.doFinal(key.encodeToByteArray())))
    }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
    }
}
