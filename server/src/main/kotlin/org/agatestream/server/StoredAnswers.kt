package org.agatestream.server

import org.agatestream.core.StoredAnswer
import java.util.Base64

/** Converts this answer to the form that is kept for resends; a body over the limit is left out. */
internal fun WholeAnswer.toStoredAnswer(): StoredAnswer {
    val kept = body.takeIf { it.size <= MAX_STORED_BODY_BYTES }
    return StoredAnswer(status, contentType, headers, kept?.let { Base64.getEncoder().encodeToString(it) })
}

/** Converts a kept answer to the one that a resend gets, marked as such. */
internal fun StoredAnswer.toReplay(): WholeAnswer {
    val bytes = body?.let { Base64.getDecoder().decode(it) }
    val kept = if (bytes == null) "status" else "whole"
    return WholeAnswer(status, contentType, headers + (REPLAYED_HEADER to kept), bytes ?: ByteArray(0))
}

/** Marks a kept answer: `whole`, or `status` if its body was too large to keep. */
internal const val REPLAYED_HEADER = "x-agatestream-replayed"

private const val MAX_STORED_BODY_BYTES = 65_536
