package org.agatestream.core.rollout

import org.agatestream.core.CallId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.ServerEntry
import kotlin.time.Duration

/** Decides which versions of a service may get a run; a gate that judges runs overrides the callbacks on them. */
public interface VersionGate {
    /**
     * Returns the rank of [server] for a run that starts now, or null if it must get none.
     *
     * A server is used only if none of a lower rank is available.
     */
    public fun rank(
        server: ServerEntry,
        now: MonotonicTime,
    ): Int?

    /** Records that a run was given to a server. */
    public fun onStarted(
        run: StartedRun,
        now: MonotonicTime,
    ): Unit = Unit

    /**
     * Records that a run had its first event after [waitedMillis], or has waited that long if not [hasBegun].
     *
     * Slow runs end late, so that their first events are the earliest sign of a slow version.
     */
    public fun onProgress(
        call: CallId,
        waitedMillis: Long,
        hasBegun: Boolean,
    ): Unit = Unit

    /** Records the end of a run. */
    public fun onEnded(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
        detail: RunDetail,
        now: MonotonicTime,
    ): Unit = Unit

    /** Records that a run is no longer followed, so that its outcome stays unknown. */
    public fun onForgotten(call: CallId): Unit = Unit

    /** A gate that admits every server equally. */
    public object Open : VersionGate {
        override fun rank(
            server: ServerEntry,
            now: MonotonicTime,
        ): Int = 0
    }
}

/** A run that was given to a server. */
public class StartedRun(
    public val call: CallId,
    public val server: ServerEntry,
    /** The runs of the server, this one included. */
    public val running: Int,
    /** The name of the route; null if it is not known. */
    public val route: String?,
    public val isItem: Boolean,
)
