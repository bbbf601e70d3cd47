package org.agatestream.server

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.agatestream.core.ClaimId
import org.agatestream.core.HolderWord

/** Asks the holder of [claim] what became of the call. */
@Serializable
@SerialName("claim")
public data class ClaimAsk(
    val claim: ClaimId,
) : PeerAsk

/** What the holder says. */
@Serializable
@SerialName("claim-word")
public data class ClaimAnswer(
    val word: HolderWord,
) : PeerAnswer
