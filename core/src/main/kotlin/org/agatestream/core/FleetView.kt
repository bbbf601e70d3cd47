package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** A revision of the whole configuration, incremented by each accepted change. */
@Serializable
@JvmInline
public value class Revision(
    public val number: Long,
) : Comparable<Revision> {
    /** Returns the revision of the next accepted change. */
    public fun next(): Revision = Revision(number + 1)

    override fun compareTo(other: Revision): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The revision before any change. */
        public val NONE: Revision = Revision(0)
    }
}

/** A workspace with its settings and the team that it belongs to. */
public data class Workspace(
    val id: WorkspaceId,
    val team: String,
    val setting: WorkspaceSetting,
)

/** The settings in force at one revision, by kind and id. */
public data class FleetView(
    val revision: Revision = Revision.NONE,
    val failureDomains: Map<FailureDomainId, FailureDomainSetting> = emptyMap(),
    val backendServers: Map<BackendServerId, BackendServerSetting> = emptyMap(),
    val models: Map<ModelId, ModelSetting> = emptyMap(),
    val routes: Map<RouteId, RouteSetting> = emptyMap(),
    val quietHours: Map<String, QuietHoursSetting> = emptyMap(),
    val workspaces: Map<WorkspaceId, Workspace> = emptyMap(),
    val callerKeys: Map<KeyHash, CallerKey> = emptyMap(),
    val operatorKeys: Map<KeyHash, OperatorKey> = emptyMap(),
) {
    /** The engines of each model that is served by at least one engine. */
    public val enginesByModel: Map<ModelId, Set<BackendServerId>> by lazy {
        val engines = backendServers.filterValues { it.kind == BackendKind.ENGINE }
        val models = engines.values.flatMapTo(mutableSetOf()) { it.models }
        models.associateWith { model -> engines.filterValues { model in it.models }.keys }
    }

    /** Returns whether the failure domain takes new work; true by default. */
    public fun isInService(domain: FailureDomainId): Boolean = failureDomains[domain]?.state != ServiceState.OUT

    /** Returns whether the backend server exists and neither it nor its failure domain is out of service. */
    public fun isInService(server: BackendServerId): Boolean {
        val setting = backendServers[server] ?: return false
        return setting.state == ServiceState.IN && isInService(setting.failureDomain)
    }
}

/** A valid key of a caller. */
public data class CallerKey(
    val id: KeyId,
    val workspace: WorkspaceId,
)

/** A valid key of an operator. */
public data class OperatorKey(
    val id: KeyId,
    val subtree: String,
)
