package org.agatestream.server

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.agatestream.core.Revision
import org.agatestream.core.SettingFault

/** A setting as the administration API shows it. */
@Serializable
internal data class SettingAnswer(
    val path: String,
    val revision: Revision,
    val value: JsonElement,
)

/** The answer to an accepted change. */
@Serializable
internal data class ChangeAnswer(
    val change: String,
    val revision: Revision,
)

/** The answer to a check: no fault means that the settings are valid. */
@Serializable
internal data class CheckAnswer(
    val faults: List<SettingFault>,
)

/** Asks for a new key of a caller, bound to [workspace], or of an operator, bound to [subtree]. */
@Serializable
internal data class NewKeyRequest(
    val path: String,
    val workspace: String? = null,
    val subtree: String? = null,
)

/** The answer to a [NewKeyRequest]; the key is shown this once and stored nowhere. */
@Serializable
internal data class NewKeyAnswer(
    val key: String,
    val path: String,
    val revision: Revision,
)
