package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A server's end while a run that was sent at [sentAt] had not begun there. */
internal class Crash(
    val sentAt: MonotonicTime,
    val at: MonotonicTime,
)

/** The crashes of servers on requests with one prompt part, and when the part was last sound and last seen. */
internal class PartCrashes(
    var seenAt: MonotonicTime,
) {
    private val crashes = HashMap<ServerIncarnation, Crash>()
    private var soundAt: MonotonicTime? = null

    /** The servers that ended. */
    val servers: Set<ServerIncarnation> get() = crashes.keys

    /** Adds a crash unless an answer began on the part shortly before or later; returns whether it is news. */
    fun add(
        server: ServerIncarnation,
        crash: Crash,
    ): Boolean {
        if (isVoid(crash) || crashes.size >= MAX_CRASHES) return false
        val known = crashes[server]
        if (known == null) crashes[server] = crash
        return known == null
    }

    /** Records that an answer began on the part; returns whether it is news. */
    fun onSound(at: MonotonicTime): Boolean {
        val last = soundAt
        if (last != null && at - last < SOUND_STEP) return crashes.values.removeAll { it.at <= at }
        soundAt = at
        crashes.values.removeAll { isVoid(it) }
        return true
    }

    /**
     * Returns the number of separate events among the crashes at [servers].
     *
     * Servers that end together may do so for a common reason, so a crash counts only if its run was sent after the
     * crash that was counted before.
     */
    fun events(servers: Set<ServerIncarnation>): Int {
        var count = 0
        var last: Crash? = null
        for (crash in crashes.filterKeys { it in servers }.values.sortedBy { it.at }) {
            if (last != null && crash.sentAt <= last.at) continue
            last = crash
            count++
        }
        return count
    }

    fun toFacts(
        part: PromptPart,
        now: MonotonicTime,
    ): PartFacts =
        PartFacts(
            part = part,
            crashes =
                crashes.map { (server, crash) ->
                    CrashFact(server, millis(now - crash.sentAt), millis(now - crash.at))
                },
            soundAgeMillis = soundAt?.let { millis(now - it) },
            seenAgeMillis = millis(now - seenAt),
        )

    private fun isVoid(crash: Crash): Boolean = soundAt?.let { crash.at <= it + SOUND_MEMORY } == true

    private fun millis(age: Duration): Long = age.inWholeMilliseconds

    internal companion object {
        /** A part on which answers begin more often than this is not suspected. */
        val SOUND_MEMORY = 2.seconds

        // Ages grow a little with each message, which must not look like another sound start.
        private val SOUND_STEP = 1.seconds
        private const val MAX_CRASHES = 16
    }
}
