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

/** Whether operators let a failure domain or a backend server get new work. */
@Serializable
public enum class ServiceState {
    IN,
    OUT,
}

/** The kind of a backend server, which determines the calls that it serves. */
@Serializable
public enum class BackendKind {
    ENGINE,
    SERVICE,
}

/** A setting under `/fleet/failure-domains/<id>`. */
@Serializable
public data class FailureDomainSetting(
    val state: ServiceState = ServiceState.IN,
    /** Maximum concurrent requests in the failure domain, or null for no limit. */
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
    /** Maximum concurrent requests of a newly started server. */
    val coldSlots: Int = 2,
    /** Maximum concurrent requests of a warm server. */
    val warmSlots: Int = 32,
    /** True if the server rejects orders with an outdated fencing token. */
    val checksFencing: Boolean = false,
)

/** A setting under `/fleet/models/<id>`. */
@Serializable
public data class ModelSetting(
    /** Longest completion that a caller may request, in tokens. */
    val maxTokens: Int = 4096,
)

/** A setting under `/fleet/routes/<id>`: a plain service that callers reach under `/services/<id>/`. */
@Serializable
public data class RouteSetting(
    val backendServers: List<BackendServerId>,
    /** True if callers need no key. */
    val open: Boolean = false,
    /** Path prefixes, relative to the route, of idempotent calls. Other calls run at most once. */
    val idempotentPaths: List<String> = emptyList(),
)

/** A setting under `/fleet/quiet-hours/<id>`: a limit in force during a daily window. */
@Serializable
public data class QuietHoursSetting(
    /** The time zone id of [from] and [to], as in `Europe/Paris`. */
    val timeZone: String,
    /** Local time at which the window starts, as in `22:00`. */
    val from: String,
    /** Local time at which the window ends; on the next day if it is at or before [from]. */
    val to: String,
    /** The failure domain that the limit applies to, or null for the whole fleet. */
    val failureDomain: FailureDomainId? = null,
    /** Maximum concurrent requests. */
    val maxRunning: Int,
    /** Maximum concurrent batch items within [maxRunning]. */
    val maxBatchRunning: Int = 0,
)

/** A setting under `/teams/<team>/workspaces/<id>`. */
@Serializable
public data class WorkspaceSetting(
    val ratePerSecond: Double,
    val burst: Int,
    /** Models that the workspace may use; empty for all. */
    val models: List<ModelId> = emptyList(),
    /** Weight of the workspace's share of batch capacity, relative to other workspaces. */
    val batchWeight: Int = 1,
)

/** A setting under `/teams/<team>/keys/<id>`: a caller's key. */
@Serializable
public data class CallerKeySetting(
    val hash: KeyHash,
    val workspace: WorkspaceId,
)

/** A setting under `/fleet/operators/<id>`: an operator's key, restricted to a subtree of the settings. */
@Serializable
public data class OperatorKeySetting(
    val hash: KeyHash,
    val subtree: String,
)
