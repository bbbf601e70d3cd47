package org.agatestream.server

import org.agatestream.core.StoredResponse
import java.util.Base64

/** Converts this response to the form stored for replay; a body over the limit is omitted. */
internal fun BufferedResponse.toStoredResponse(): StoredResponse {
    val storedBody = body.takeIf { it.size <= MAX_STORED_BODY_BYTES }
    return StoredResponse(status, contentType, headers, storedBody?.let { Base64.getEncoder().encodeToString(it) })
}

/** Converts a stored response to the replayed one, marked with [REPLAYED_HEADER]. */
internal fun StoredResponse.toReplay(): BufferedResponse {
    val bytes = body?.let { Base64.getDecoder().decode(it) }
    val replayed = if (bytes == null) "status" else "whole"
    return BufferedResponse(status, contentType, headers + (REPLAYED_HEADER to replayed), bytes ?: ByteArray(0))
}

/** Marks a replayed response: `whole`, or `status` if its body was too large to store. */
internal const val REPLAYED_HEADER = "x-agatestream-replayed"

private const val MAX_STORED_BODY_BYTES = 65_536
