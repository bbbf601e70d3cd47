package org.agatestream.server

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.agatestream.core.BurnRateLine

/** Requests the burn rates of the receiving VM's own requests. */
@Serializable
@SerialName("org.agatestream.server.BurnAsk")
public data object BurnRateRequest : PeerRequest

/** The response to a [BurnRateRequest]. */
@Serializable
@SerialName("org.agatestream.server.BurnAnswer")
public data class BurnRateResponse(
    val lines: List<BurnRateLine>,
) : PeerResponse
