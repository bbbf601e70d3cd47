package org.agatestream.standin

import org.agatestream.core.MonotonicTime
import java.util.ArrayDeque
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A value that can be read as of an earlier time, up to [MAX_LAG] ago. */
internal class LaggedValue<T>(
    initial: T,
    now: MonotonicTime,
) {
    private val versions = ArrayDeque<Version<T>>(listOf(Version(now, initial)))

    @Synchronized
    fun set(
        value: T,
        now: MonotonicTime,
    ) {
        versions.addLast(Version(now, value))
        while (versions.size > 1 && versions.elementAt(1).since <= now - MAX_LAG) versions.removeFirst()
    }

    /** Returns the value as of [lag] before [now], or the oldest one available. */
    @Synchronized
    fun get(
        now: MonotonicTime,
        lag: Duration,
    ): T = (versions.lastOrNull { it.since <= now - lag } ?: versions.first).value

    private class Version<T>(
        val since: MonotonicTime,
        val value: T,
    )

    companion object {
        val MAX_LAG = 60.seconds
    }
}
