package org.agatestream.core

import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Hashes keys of callers and operators under the secret of the fleet.
 *
 * Without the secret nobody can steer a hash towards a stored one, so a lookup by hash reveals nothing about a key,
 * however long it takes.
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
