package org.agatestream.core

import kotlinx.serialization.Serializable

/** A setting as last changed at [revision]; a null [value] marks a deleted setting. */
@Serializable
public data class ConfigEntry(
    /** JSON text. */
    val value: String?,
    val revision: Revision,
)

/** The entries that changed after [since] up to [upTo]; with [since] at [Revision.NONE], all existing entries. */
@Serializable
public data class ConfigDelta(
    val since: Revision,
    val upTo: Revision,
    val entries: Map<String, ConfigEntry>,
)

/**
 * The replicated settings at one revision, by path.
 *
 * The latest deletions are retained as tombstones for deltas. A VM whose revision is older than that gets all entries.
 */
public data class ConfigState(
    val revision: Revision = Revision.NONE,
    val entries: Map<String, ConfigEntry> = emptyMap(),
    /** The lowest revision that a delta may start from; one from an earlier revision would miss deletions. */
    val oldestDeltaBase: Revision = Revision.NONE,
) {
    /** The existing settings as JSON text by path. */
    public val values: Map<String, String>
        get() = entries.mapNotNull { (path, entry) -> entry.value?.let { path to it } }.toMap()

    /** Returns the revision at which the setting at [path] last changed, or [Revision.NONE] if it doesn't exist. */
    public fun revisionOf(path: String): Revision =
        entries[path]?.takeIf { it.value != null }?.revision ?: Revision.NONE

    /** Returns the changes since [since], or all entries if not all deletions since then are known. */
    public fun toDelta(since: Revision): ConfigDelta {
        val coversDeletions = since >= oldestDeltaBase && since > Revision.NONE
        if (!coversDeletions) return ConfigDelta(Revision.NONE, revision, entries.filterValues { it.value != null })
        return ConfigDelta(since, revision, entries.filterValues { it.revision > since })
    }

    /**
     * Returns the state after [delta], or this one unchanged if the delta is not newer or starts after [revision].
     *
     * The revision never decreases.
     */
    public fun apply(delta: ConfigDelta): ConfigState {
        if (delta.upTo <= revision || delta.since > revision) return this
        val isFull = delta.since == Revision.NONE
        val merged = if (isFull) delta.entries else entries + delta.entries.filterValues { it.revision > revision }
        val next = ConfigState(delta.upTo, merged, if (isFull) delta.upTo else oldestDeltaBase).pruneTombstones()
        invariant("configuration-never-reverts", next.revision > revision) { "$revision to ${next.revision}" }
        return next
    }

    private fun pruneTombstones(): ConfigState {
        val tombstones = entries.filterValues { it.value == null }
        if (tombstones.size <= MAX_TOMBSTONES) return this
        val dropped = tombstones.entries.sortedBy { it.value.revision }.take(tombstones.size - MAX_TOMBSTONES / 2)
        return copy(entries = entries - dropped.map { it.key }.toSet(), oldestDeltaBase = dropped.last().value.revision)
    }

    private companion object {
        const val MAX_TOMBSTONES = 4096
    }
}
