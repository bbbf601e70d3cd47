package org.agatestream.server

import kotlinx.serialization.Serializable
import org.agatestream.core.BurnLine

/** Asks a VM for the burn lines of its own requests. */
@Serializable
public data object BurnAsk : PeerAsk

/** The answer to a [BurnAsk]. */
@Serializable
public data class BurnAnswer(
    val lines: List<BurnLine>,
) : PeerAnswer
