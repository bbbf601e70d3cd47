package org.agatestream.server

import org.agatestream.core.KeyHasher
import org.agatestream.core.KeyId
import org.agatestream.core.OperatorKey
import org.agatestream.core.Outcome
import org.agatestream.core.authenticateOperator
import org.agatestream.core.parseBearerKey
import org.agatestream.core.toOk
import org.agatestream.http.HttpCall
import java.security.MessageDigest

/** Authenticates operators by the keys in the settings and by [bootstrapKey]. */
internal class OperatorAuthentication(
    private val coordination: Coordination,
    private val hasher: KeyHasher,
    bootstrapKey: String?,
) {
    private val bootstrapHash = bootstrapKey?.let { hasher.hash(it).hex.encodeToByteArray() }

    fun authenticate(call: HttpCall): Outcome<OperatorKey> {
        val authorization = call.header("authorization")
        if (isBootstrap(authorization)) return BOOTSTRAP_OPERATOR.toOk()
        return coordination.fleet.authenticateOperator(authorization, hasher)
    }

    private fun isBootstrap(authorization: String?): Boolean {
        val key = parseBearerKey(authorization) ?: return false
        val expected = bootstrapHash ?: return false
        return MessageDigest.isEqual(hasher.hash(key).hex.encodeToByteArray(), expected)
    }

    private companion object {
        val BOOTSTRAP_OPERATOR = OperatorKey(KeyId("bootstrap"), "/")
    }
}
