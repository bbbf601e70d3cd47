package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** A keyed hash of a caller's or an operator's key, in lower-case hexadecimal. */
@Serializable
@JvmInline
public value class KeyHash(
    public val hex: String,
) {
    override fun toString(): String = hex
}

/** Whether operators want a failure domain or a backend server to get new work. */
@Serializable
public enum class ServiceState {
    IN,
    OUT,
}

/** What a backend server is, and so which calls it takes. */
@Serializable
public enum class BackendKind {
    ENGINE,
    SERVICE,
}

/** A setting under `/fleet/failure-domains/<id>`. */
@Serializable
public data class FailureDomainSetting(
    val state: ServiceState = ServiceState.IN,
    /** Requests that may run at once in the failure domain, or null for no limit. */
    val maxRunning: Int? = null,
)

/** A setting under `/fleet/backend-servers/<id>`. */
@Serializable
public data class BackendServerSetting(
    /** Host and port. */
    val address: String,
    val failureDomain: FailureDomainId,
    val kind: BackendKind,
    /** Models that an engine serves; empty for a plain service. */
    val models: List<ModelId> = emptyList(),
    val state: ServiceState = ServiceState.IN,
    /** Requests that a freshly started server bears at once. */
    val coldSlots: Int = 2,
    /** Requests that a warm server bears at once. */
    val warmSlots: Int = 32,
    /** True if the server refuses orders with an old fencing number. */
    val checksFencing: Boolean = false,
)

/** A setting under `/fleet/models/<id>`. */
@Serializable
public data class ModelSetting(
    /** Longest answer that a caller may ask for, in tokens. */
    val maxTokens: Int = 4096,
)

/** A setting under `/fleet/routes/<id>`: a plain service that callers reach under `/services/<id>/`. */
@Serializable
public data class RouteSetting(
    val backendServers: List<BackendServerId>,
    /** True if callers need no key. */
    val open: Boolean = false,
    /** Path prefixes, below the route, of calls that may be repeated. Other calls run at most once. */
    val idempotentPaths: List<String> = emptyList(),
)

/** A setting under `/fleet/quiet-hours/<id>`: a limit in force during a daily window. */
@Serializable
public data class QuietHoursSetting(
    /** The name of the time zone of [from] and [to], as in `Europe/Paris`. */
    val timeZone: String,
    /** Local time at which the window begins, as in `22:00`. */
    val from: String,
    /** Local time at which the window ends; at or before [from] it is on the next day. */
    val to: String,
    /** The failure domain that is limited, or null for the whole fleet. */
    val failureDomain: FailureDomainId? = null,
    /** Requests that may run at once. */
    val maxRunning: Int,
    /** How many of them may be batch items. */
    val maxBatchRunning: Int = 0,
)

/** A setting under `/teams/<team>/workspaces/<id>`. */
@Serializable
public data class WorkspaceSetting(
    val ratePerSecond: Double,
    val burst: Int,
    /** Models that the workspace may use; empty for all. */
    val models: List<ModelId> = emptyList(),
    /** Share of batch capacity relative to other workspaces. */
    val batchWeight: Int = 1,
)

/** A setting under `/teams/<team>/keys/<id>`: a caller's key. */
@Serializable
public data class CallerKeySetting(
    val hash: KeyHash,
    val workspace: WorkspaceId,
)

/** A setting under `/fleet/operators/<id>`: an operator's key, bound to a subtree of the settings. */
@Serializable
public data class OperatorKeySetting(
    val hash: KeyHash,
    val subtree: String,
)
