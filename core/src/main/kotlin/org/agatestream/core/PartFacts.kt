package org.agatestream.core

import kotlinx.serialization.Serializable

/** A backend server between two of its starts. */
@Serializable
public data class ServerIncarnation(
    val server: BackendServerId,
    /** The start time in Unix milliseconds. */
    val startedAtMillis: Long,
) {
    override fun toString(): String = server.value
}

/** What one VM tells another about a prompt part; times are ages, as the clocks of two VMs can't be compared. */
@Serializable
public data class PartFacts(
    val part: PromptPart,
    val crashes: List<CrashFact>,
    /** The age of the last answer that began on the part, in milliseconds; null if none is known. */
    val soundAgeMillis: Long?,
    /** The age of the last request with the part, in milliseconds. */
    val seenAgeMillis: Long,
)

/** The end of a server while a run had not begun there. */
@Serializable
public data class CrashFact(
    val server: ServerIncarnation,
    /** The age of the run, in milliseconds. */
    val sentAgeMillis: Long,
    /** The time since the server ended, in milliseconds. */
    val ageMillis: Long,
)
