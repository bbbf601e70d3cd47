package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The key of the row with the [FleetHead]. */
public const val HEAD_KEY: String = "config/head"

/** The key of the row with the [Plan]. */
public const val PLAN_KEY: String = "plan"

/** The key prefix of the rows with the [ConfigEntry] of a path. */
public const val ENTRY_PREFIX: String = "config/entry"

/** The key prefix of the rows with a [ConfigLogEntry] each. */
public const val LOG_PREFIX: String = "config/log/"

/** The key prefix of the rows that map a change id to its revision. */
public const val CHANGE_PREFIX: String = "config/change/"

private const val REVISION_DIGITS = 12

/** A change of one setting: the new value as JSON text, or null to delete it. */
@Serializable
public data class PathChange(
    val path: String,
    val value: String?,
)

/** One accepted change of the configuration, as stored in its history. */
@Serializable
public data class ConfigLogEntry(
    val revision: Revision,
    val change: ChangeId,
    val operator: KeyId,
    /** Wall-clock time of the VM that made the change, in milliseconds since the Unix epoch. */
    val atMillis: Long,
    val changes: List<PathChange>,
) {
    /** Returns the change as a delta from the previous revision. */
    public fun toDelta(): ConfigDelta =
        ConfigDelta(
            Revision(revision.number - 1),
            revision,
            changes.associate { it.path to ConfigEntry(it.value, revision) },
        )
}

/** Returns the key of the row with the log entry of this revision; keys sort in the order of revisions. */
public fun Revision.toLogKey(): String = LOG_PREFIX + number.toString().padStart(REVISION_DIGITS, '0')

/** Returns the key of the row with the revision of this change. */
public fun ChangeId.toChangeKey(): String = CHANGE_PREFIX + value

/** Parses the head in this row; returns [FleetHead.NONE] if there is no row. */
public fun Row?.toFleetHead(): FleetHead = if (this == null) FleetHead.NONE else Json.decodeFromString(value)

/** Parses the plan in this row; returns an empty plan if there is no row. */
public fun Row?.toPlan(): Plan = if (this == null) Plan() else Json.decodeFromString(value)

/** Parses the setting in this row. */
public fun Row.toConfigEntry(): ConfigEntry = Json.decodeFromString(value)

/** Parses the change in this row. */
public fun Row.toConfigLogEntry(): ConfigLogEntry = Json.decodeFromString(value)

/** Parses the revision in this row of a change id. */
public fun Row.toChangeRevision(): Revision = Json.decodeFromString(value)
