package org.agatestream.core

import kotlinx.serialization.Serializable

/** The class of a request; online requests take precedence over batch items. */
@Serializable
public enum class RequestClass {
    ONLINE,
    BATCH,
}
