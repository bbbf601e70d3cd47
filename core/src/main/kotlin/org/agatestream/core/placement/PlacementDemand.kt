package org.agatestream.core.placement

import org.agatestream.core.FailureDomainId
import kotlin.time.Duration

/** What the choice of a server for a run depends on. */
internal class PlacementDemand(
    /** The failure domain of the VM that carries out the run; null if it is not known. */
    val origin: FailureDomainId? = null,
    val prompt: PromptShape = PromptShape.UNKNOWN,
    /** The time left until the first event is due; null if none is due. */
    val firstEventDueIn: Duration? = null,
) {
    /** The tokens of the prompt; 0 if not known. */
    val promptTokens: Int = prompt.knownPromptTokens

    /** The tokens that the run is expected to occupy in the memory of its server; 0 if not known. */
    val tokens: Int get() = prompt.totalTokens

    companion object {
        /** A run about which nothing is known. */
        val UNKNOWN = PlacementDemand()
    }
}

/** What a server had to do for a run when the run started there. */
internal class PlacedRun(
    /** The number of runs at the server, this one included. */
    val running: Int,
    /** The prompt tokens that the server presumably did not have cached. */
    val tokensRead: Int,
    /** The tokens that the run is expected to occupy; 0 if not known. */
    var tokens: Int,
)
