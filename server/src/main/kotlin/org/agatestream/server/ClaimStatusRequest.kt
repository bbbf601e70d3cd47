package org.agatestream.server

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.agatestream.core.ClaimId
import org.agatestream.core.ClaimStatus

/** Requests the status of [claim] from its holder. */
@Serializable
@SerialName("claim")
public data class ClaimStatusRequest(
    val claim: ClaimId,
) : PeerRequest

/** The status of a claim as reported by its holder. */
@Serializable
@SerialName("claim-word")
public data class ClaimStatusResponse(
    val word: ClaimStatus,
) : PeerResponse
