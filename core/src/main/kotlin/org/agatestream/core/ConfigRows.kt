package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The row that holds the [FleetHead]. */
public const val HEAD_KEY: String = "config/head"

/** The row that holds the [Plan]. */
public const val PLAN_KEY: String = "plan"

/** The prefix of the rows that hold the [ConfigEntry] of a path. */
public const val ENTRY_PREFIX: String = "config/entry"

/** The prefix of the rows that hold a [ConfigLogEntry] each. */
public const val LOG_PREFIX: String = "config/log/"

/** The prefix of the rows that hold the revision that a change made. */
public const val CHANGE_PREFIX: String = "config/change/"

private const val REVISION_DIGITS = 12

/** One setting's new value as JSON text, or its deletion. */
@Serializable
public data class PathChange(
    val path: String,
    val value: String?,
)

/** One accepted change of the configuration, as history shows it. */
@Serializable
public data class ConfigLogEntry(
    val revision: Revision,
    val change: ChangeId,
    val operator: KeyId,
    /** Wall time of the VM that made the change, in milliseconds since the epoch. */
    val atMillis: Long,
    val changes: List<PathChange>,
) {
    /** Returns the change as a delta from the revision before it. */
    public fun toDelta(): ConfigDelta =
        ConfigDelta(
            Revision(revision.number - 1),
            revision,
            changes.associate { it.path to ConfigEntry(it.value, revision) },
        )
}

/** The key of the row that holds the log entry of this revision; keys sort as revisions do. */
public fun Revision.toLogKey(): String = LOG_PREFIX + number.toString().padStart(REVISION_DIGITS, '0')

/** The key of the row that says which revision this change made. */
public fun ChangeId.toChangeKey(): String = CHANGE_PREFIX + value

/** Returns the head in this row, or the first head if there is no row. */
public fun Row?.toFleetHead(): FleetHead = if (this == null) FleetHead.NONE else Json.decodeFromString(value)

/** Returns the plan in this row, or the empty plan if there is no row. */
public fun Row?.toPlan(): Plan = if (this == null) Plan() else Json.decodeFromString(value)

/** Returns the setting in this row. */
public fun Row.toConfigEntry(): ConfigEntry = Json.decodeFromString(value)

/** Returns the change in this row. */
public fun Row.toConfigLogEntry(): ConfigLogEntry = Json.decodeFromString(value)

/** Returns the revision in this row of a change. */
public fun Row.toChangeRevision(): Revision = Json.decodeFromString(value)
