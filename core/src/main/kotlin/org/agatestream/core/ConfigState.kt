package org.agatestream.core

import kotlinx.serialization.Serializable

/** One setting as last changed at [revision]; a null [value] says that it was deleted. */
@Serializable
public data class ConfigEntry(
    /** JSON text. */
    val value: String?,
    val revision: Revision,
)

/** All entries that changed after [since] up to [upTo]; [since] of [Revision.NONE] holds all that exist. */
@Serializable
public data class ConfigDelta(
    val since: Revision,
    val upTo: Revision,
    val entries: Map<String, ConfigEntry>,
)

/**
 * The replicated settings at one revision, by path.
 *
 * Deleted entries are kept for a while, so that a delta can name them. A VM that was away longer gets all entries.
 */
public data class ConfigState(
    val revision: Revision = Revision.NONE,
    val entries: Map<String, ConfigEntry> = emptyMap(),
    /** Deltas since revisions before this one would miss deletions. */
    val horizon: Revision = Revision.NONE,
) {
    /** The existing settings as JSON text by path. */
    public val values: Map<String, String>
        get() = entries.mapNotNull { (path, entry) -> entry.value?.let { path to it } }.toMap()

    /** Returns the revision at which the setting at [path] last changed, or [Revision.NONE] if it doesn't exist. */
    public fun revisionOf(path: String): Revision =
        entries[path]?.takeIf { it.value != null }?.revision ?: Revision.NONE

    /** Returns what a VM at [since] lacks; holds all entries if deletions since then are no longer known. */
    public fun toDelta(since: Revision): ConfigDelta {
        val known = since >= horizon && since > Revision.NONE
        if (!known) return ConfigDelta(Revision.NONE, revision, entries.filterValues { it.value != null })
        return ConfigDelta(since, revision, entries.filterValues { it.revision > since })
    }

    /**
     * Returns the state after [delta], or this one unchanged if the delta is not newer or does not join on.
     *
     * The revision never falls.
     */
    public fun apply(delta: ConfigDelta): ConfigState {
        if (delta.upTo <= revision || delta.since > revision) return this
        val isWhole = delta.since == Revision.NONE
        val merged = if (isWhole) delta.entries else entries + delta.entries.filterValues { it.revision > revision }
        val next = ConfigState(delta.upTo, merged, if (isWhole) delta.upTo else horizon).withoutOldDeletions()
        invariant("configuration-never-reverts", next.revision > revision) { "$revision to ${next.revision}" }
        return next
    }

    private fun withoutOldDeletions(): ConfigState {
        val deleted = entries.filterValues { it.value == null }
        if (deleted.size <= MAX_DELETED) return this
        val dropped = deleted.entries.sortedBy { it.value.revision }.take(deleted.size - MAX_DELETED / 2)
        return copy(entries = entries - dropped.map { it.key }.toSet(), horizon = dropped.last().value.revision)
    }

    private companion object {
        const val MAX_DELETED = 4096
    }
}
