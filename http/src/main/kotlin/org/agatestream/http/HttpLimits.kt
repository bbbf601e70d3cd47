package org.agatestream.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds on what one HTTP connection may cost the server. */
public data class HttpLimits(
    /** Longest request line, in bytes. */
    val maxRequestLineBytes: Int = 4_096,
    /** Largest request head, in bytes. */
    val maxHeadBytes: Int = 16_384,
    /** Largest piece of a body that is handed on at once, in bytes. */
    val maxChunkBytes: Int = 65_536,
    /** How long a connection may be silent while the server waits for the rest of a request. */
    val senderTimeout: Duration = 10.seconds,
    /** How long a connection may be idle between requests. */
    val keepAliveTimeout: Duration = 75.seconds,
    /** How long a reader may take in nothing while an answer waits for it. */
    val readerTimeout: Duration = 30.seconds,
)
