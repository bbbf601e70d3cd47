package org.agatestream.core

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What is known about the parts of a request's prompt. */
public sealed interface PromptVerdict {
    /** Nothing speaks against the request. */
    public data object Clear : PromptVerdict

    /** Servers ended on some of the parts, and the request must run apart from others with the same ones. */
    public data class Suspected(
        val parts: Set<PromptPart>,
    ) : PromptVerdict

    /** The request would end the server that begins to answer it. */
    public data class Condemned(
        val part: PromptPart,
    ) : PromptVerdict
}

/** A prompt part that must not reach a server, with the evidence. */
public data class CondemnedPart(
    val part: PromptPart,
    val crashes: Int,
    val servers: Set<ServerIncarnation>,
)

/**
 * Finds the prompt parts that end each server that begins to write an answer on them.
 *
 * A part is suspected when a server ended before an answer on the part had begun there, and condemned after
 * [CONDEMNING_CRASHES] separate crashes without an answer that began. A crash is blamed on the parts that explain the
 * most crashes; parts that appear in the same crashes only are condemned together, so that a request with one of them
 * is tried alone first. The facts of several VMs are merged in any order with the same result. Not thread-safe.
 */
public class CrashSuspects {
    private val parts = LinkedHashMap<PromptPart, PartCrashes>()
    private val soundStarts = LinkedHashMap<PromptPart, MonotonicTime>(16, LOAD_FACTOR, true)
    private var condemnedGroups: List<Set<PromptPart>> = emptyList()
    private var suspectedParts: Set<PromptPart> = emptySet()

    /** Grows with each change that other VMs must learn of; 0 if there was none. */
    public var version: Long = 0
        private set

    /** The condemned parts. */
    public var condemned: List<CondemnedPart> = emptyList()
        private set

    /** The number of parts that are suspected but not condemned. */
    public val suspectedCount: Int get() = suspectedParts.size

    /** True if no part is suspected or condemned. */
    internal val isClear: Boolean get() = suspectedParts.isEmpty() && condemnedGroups.isEmpty()

    /** Records that [server] ended while a run of a request with [blamed] parts, sent at [sentAt], had not begun. */
    public fun onCrash(
        blamed: Collection<PromptPart>,
        server: ServerIncarnation,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        var isNews = false
        for (part in blamed) isNews = entry(part, now).add(server, Crash(sentAt, now)) || isNews
        if (isNews) onChanged(now)
    }

    /** Records that an answer to a request with [sound] parts began. */
    public fun onSoundStart(
        sound: Collection<PromptPart>,
        now: MonotonicTime,
    ) {
        var isNews = false
        for (part in sound) {
            soundStarts[part] = now
            isNews = parts[part]?.onSound(now) == true || isNews
        }
        while (soundStarts.size > MAX_SOUND_PARTS) soundStarts.remove(soundStarts.keys.first())
        if (isNews) onChanged(now)
    }

    /** Judges a request with [requested] parts that arrives at [now]; the parts stay known while such requests come. */
    public fun judge(
        requested: Collection<PromptPart>,
        now: MonotonicTime,
    ): PromptVerdict {
        if (isClear) return PromptVerdict.Clear
        val marked = requested.filterTo(LinkedHashSet()) { it in suspectedParts || isCondemned(it) }
        if (marked.isEmpty()) return PromptVerdict.Clear
        marked.forEach { refresh(it, now) }
        val group = condemnedGroups.firstOrNull { marked.containsAll(it) }
        return if (group != null) PromptVerdict.Condemned(group.first()) else PromptVerdict.Suspected(marked)
    }

    /** Returns all facts. */
    public fun facts(now: MonotonicTime): List<PartFacts> = parts.map { (part, crashes) -> crashes.toFacts(part, now) }

    /** Returns the facts on [requested] parts. */
    public fun factsOn(
        requested: Collection<PromptPart>,
        now: MonotonicTime,
    ): List<PartFacts> = requested.mapNotNull { part -> parts[part]?.toFacts(part, now) }

    /** Adds the facts of another VM. */
    public fun merge(
        facts: List<PartFacts>,
        now: MonotonicTime,
    ) {
        var isNews = false
        for (fact in facts) {
            val isNew = fact.part !in parts
            val seenAt = now - fact.seenAgeMillis.milliseconds
            if (isNew && now - seenAt >= RETENTION) continue
            val entry = entry(fact.part, seenAt)
            if (seenAt - entry.seenAt >= REFRESH_STEP) {
                entry.seenAt = seenAt
                isNews = true
            }
            fact.soundAgeMillis?.let { isNews = entry.onSound(now - it.milliseconds) || isNews }
            for (crash in fact.crashes) {
                val mark = Crash(now - crash.sentAgeMillis.milliseconds, now - crash.ageMillis.milliseconds)
                isNews = entry.add(crash.server, mark) || isNews
            }
        }
        if (isNews) onChanged(now)
    }

    /** Forgets the parts that no request had for [RETENTION]. */
    public fun expire(now: MonotonicTime) {
        if (parts.values.removeAll { now - it.seenAt >= RETENTION }) onChanged(now)
    }

    private fun isCondemned(part: PromptPart): Boolean = condemnedGroups.any { part in it }

    private fun refresh(
        part: PromptPart,
        now: MonotonicTime,
    ) {
        val entry = parts[part] ?: return
        if (now - entry.seenAt < REFRESH_STEP) return
        entry.seenAt = now
        version++
    }

    private fun entry(
        part: PromptPart,
        now: MonotonicTime,
    ): PartCrashes =
        parts.getOrPut(part) { PartCrashes(now).also { created -> soundStarts[part]?.let { created.onSound(it) } } }

    private fun onChanged(now: MonotonicTime) {
        version++
        if (parts.size > MAX_PARTS) evict(now)
        val groups = parts.entries.groupBy({ it.value.servers.toSet() }, { it.key })
        val explained = HashSet<ServerIncarnation>()
        val verdicts = ArrayList<CondemnedPart>()
        val suspected = HashSet<PromptPart>()
        val condemnedNow = ArrayList<Set<PromptPart>>()
        for ((servers, group) in groups.entries.sortedByDescending { it.key.size }) {
            val unexplained = servers - explained
            val crashes = parts.getValue(group.first()).events(unexplained)
            if (crashes >= CONDEMNING_CRASHES) {
                condemnedNow += group.toSet()
                group.mapTo(verdicts) { CondemnedPart(it, crashes, servers) }
                explained += servers
            } else if (unexplained.isNotEmpty()) {
                suspected += group
            }
        }
        condemnedGroups = condemnedNow
        condemned = verdicts
        suspectedParts = suspected
    }

    /** Forgets the parts with the fewest crashes, the longest unseen first. */
    private fun evict(now: MonotonicTime) {
        parts.entries
            .sortedWith(compareBy({ it.value.servers.size }, { it.value.seenAt - now }))
            .take(parts.size - MAX_PARTS)
            .map { it.key }
            .forEach { parts -= it }
    }

    public companion object {
        /** The number of separate crashes without an answer that began after which a part is condemned. */
        public const val CONDEMNING_CRASHES: Int = 3

        private const val MAX_PARTS = 128
        private const val MAX_SOUND_PARTS = 4096
        private const val LOAD_FACTOR = 0.75f
        private val RETENTION = 60.seconds

        // Other VMs learn at this interval that requests with a part still come.
        private val REFRESH_STEP = 10.seconds
    }
}
