package org.agatestream.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on the resources that one HTTP connection may use. */
public data class HttpLimits(
    /** Maximum length of the request line in bytes. */
    val maxRequestLineBytes: Int = 4_096,
    /** Maximum size of the request head in bytes. */
    val maxHeadBytes: Int = 16_384,
    /** Maximum size of a body chunk in bytes. */
    val maxChunkBytes: Int = 65_536,
    /** Maximum time for a request head, and for each read of a request body. */
    val requestReadTimeout: Duration = 10.seconds,
    /** Maximum idle time between requests. */
    val keepAliveTimeout: Duration = 75.seconds,
    /** Maximum time that a write of a response may wait for the caller to read. */
    val responseWriteTimeout: Duration = 30.seconds,
)
