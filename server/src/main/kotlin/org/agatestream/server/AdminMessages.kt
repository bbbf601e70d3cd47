package org.agatestream.server

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.agatestream.core.Revision
import org.agatestream.core.SettingFault

/** The response with one setting: its path, revision and JSON value. */
@Serializable
internal data class SettingResponse(
    val path: String,
    val revision: Revision,
    val value: JsonElement,
)

/** The response to an accepted change. */
@Serializable
internal data class ChangeResponse(
    val change: String,
    val revision: Revision,
)

/** The response to a check of settings; an empty list of faults means that they are valid. */
@Serializable
internal data class CheckResponse(
    val faults: List<SettingFault>,
)

/** A request for a new key, either a caller's for [workspace] or an operator's for [subtree]. */
@Serializable
internal data class NewKeyRequest(
    val path: String,
    val workspace: String? = null,
    val subtree: String? = null,
)

/** The response to a [NewKeyRequest]; the key can't be read again, as only its hash is stored. */
@Serializable
internal data class NewKeyResponse(
    val key: String,
    val path: String,
    val revision: Revision,
)
