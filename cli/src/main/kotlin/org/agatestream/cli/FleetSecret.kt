package org.agatestream.cli

/** Reads the fleet's secret from the environment variable [variable]; prints an error and returns null if unset. */
internal fun readFleetSecret(variable: String): ByteArray? {
    val secret = System.getenv(variable)
    if (!secret.isNullOrEmpty()) return secret.encodeToByteArray()
    System.err.println("the environment variable $variable must contain the fleet's secret")
    return null
}
