package org.agatestream.core.rollout

import org.agatestream.core.BackendServerId
import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime

/** The version side of a server during a roll-out. */
internal enum class VersionSide { OLD, NEW }

/** How many slots of its server were occupied when a run started there. */
internal enum class LoadLevel {
    PARTIAL,
    FULL,
    ;

    companion object {
        // Three quarters: a server that is filled to all slots starts only its last runs with all others occupied.
        private const val FULL_SHARE = 0.75

        /** Returns the level of a server with [running] runs, the new one included, in [slots] slots. */
        fun of(
            running: Int,
            slots: Int,
        ): LoadLevel = if (running >= slots * FULL_SHARE) FULL else PARTIAL
    }
}

/** A run that started at a server of either side. */
internal data class ObservedStart(
    val side: VersionSide,
    val server: BackendServerId,
    val domain: FailureDomainId,
    val level: LoadLevel,
    /** The route, or the service if the route is not known. */
    val route: String,
    val at: MonotonicTime,
    val isItem: Boolean = false,
)

/** A run that has not ended, as far as it is known. */
internal data class RunInFlight(
    val start: ObservedStart,
    /** How long the first event took or, if the run has not begun, has taken so far; null if nobody said. */
    val waitedMillis: Long? = null,
    val hasBegun: Boolean = false,
)

/** How long parts of a run took, in milliseconds; null where the run has none. */
internal data class RunTimes(
    val firstEvent: Long?,
    val longestPause: Long?,
    val total: Long?,
)

/** A run that ended, as evidence on its side. */
internal data class RunObservation(
    val start: ObservedStart,
    val endedAt: MonotonicTime,
    val isFailure: Boolean,
    /** How many times as long as runs of the old version it took; null if there was nothing to compare with. */
    val slowdown: Double?,
)
