package org.agatestream.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.MonotonicTime
import org.agatestream.core.startup.StartupAdmission
import org.agatestream.core.startup.StartupArrival
import org.agatestream.core.startup.decide
import org.agatestream.core.startup.retryAfter
import kotlin.time.Duration

/** Holds requests that arrive at a VM that starts, until it has read what placing them requires. */
internal class StartupGate(
    private val startedAt: MonotonicTime,
) {
    private val opened = CompletableDeferred<Unit>()
    private var held = 0

    /** Resumes all held requests; later ones pass at once. */
    fun open() {
        opened.complete(Unit)
    }

    /** Waits for [open] for as long as is worth while for the caller. */
    suspend fun await(
        callerTimeout: Duration,
        callerSeed: Int,
    ) {
        if (opened.isCompleted) return
        val admission = arrival(callerTimeout, callerSeed).decide(MonotonicTime.now())
        if (admission !is StartupAdmission.Hold) return
        held++
        try {
            withTimeoutOrNull(admission.atMost) { opened.await() }
        } finally {
            held--
        }
    }

    /** Returns when a caller that is refused now should return. */
    fun retryAfter(callerSeed: Int): Duration = arrival(Duration.ZERO, callerSeed).retryAfter(MonotonicTime.now())

    private fun arrival(
        callerTimeout: Duration,
        callerSeed: Int,
    ): StartupArrival = StartupArrival(startedAt, held, callerTimeout, callerSeed)
}
