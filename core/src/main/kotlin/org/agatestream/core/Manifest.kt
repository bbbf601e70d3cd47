package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline
import kotlin.time.Duration

/** Identifies a service: a group of interchangeable backend servers. */
@Serializable
@JvmInline
public value class ServiceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** How often a request of a route may be executed. */
public enum class RouteKind {
    /** Idempotent: may be executed more than once. */
    SAFE,

    /** Executed at most once for each attempt of a caller. */
    UNSAFE,

    /** Responds with a stream of events; executed at most once unless the route is resumable. */
    STREAM,

    /** Accepts batch jobs. */
    BATCH,
}

/** The share of a route's traffic that goes to one service, as a weight relative to the other shares. */
public data class RouteShare(
    val service: ServiceId,
    val weight: Int,
)

/** Limits of a batch route. */
@Serializable
public data class JobRules(
    /** The time from the first submission of a job to the deadline of its results. */
    val completionTarget: Duration,
    /** The time from the first submission after which an unfinished item may be given up. */
    val retention: Duration,
    /** The maximum number of queued tokens of one workspace on the route; 0 for no limit. */
    val maxWaitingTokens: Long,
)

/** A route of the manifest: which requests it matches, and how they are executed. */
public data class ManifestRoute(
    val name: String,
    val host: String,
    /** The path prefix; starts and ends with a slash. */
    val prefix: String,
    val kind: RouteKind,
    val shares: List<RouteShare>,
    /** The timeout for the complete response. */
    val timeout: Duration,
    /** The target time to the first event, or to the response if it is not streamed. */
    val latencyTarget: Duration,
    /** The priority of its requests; 0 is the highest. */
    val priority: Int,
    /** The maximum number of backend servers tried for one attempt of a caller. */
    val maxAttempts: Int,
    /** True if no key is required. */
    val isPublic: Boolean,
    /** True if a stream may be resumed on another backend server. */
    val isResumable: Boolean,
    /** The limits of a batch route; null for other kinds. */
    val jobs: JobRules? = null,
) {
    /** True if a request may be retried after its outcome was lost. */
    val isRepeatable: Boolean get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && isResumable)

    /** Returns the service for the request whose id hashes to [hash], in proportion to the shares. */
    public fun chooseService(hash: Int): ServiceId {
        val total = shares.sumOf { it.weight }
        if (total <= 0) return shares.first().service
        var remaining = hash.mod(total)
        for (share in shares) {
            remaining -= share.weight
            if (remaining < 0) return share.service
        }
        return shares.last().service
    }

    /** Returns whether [chooseService] returns [service] for any hash. */
    public fun mayLeadTo(service: ServiceId): Boolean {
        val inUse = shares.filter { it.weight > 0 }.ifEmpty { shares.take(1) }
        return inUse.any { it.service == service }
    }
}

/** The settings of a service in the manifest. */
public data class ServiceSpec(
    val id: ServiceId,
    /** The maximum requests per second to a cold backend server; 0 for no limit. */
    val coldRatePerSecond: Double,
    /** The tokens that a backend server holds in memory; it ends if its requests exceed them. Null if not known. */
    val memoryTokens: Int? = null,
)

/** A workspace of the manifest with its keys and its fleet-wide rate limit. */
public data class WorkspaceSpec(
    val id: WorkspaceId,
    val keys: Set<String>,
    /** Overrides the priority of the route if not null. */
    val priority: Int?,
    /** The maximum requests per second; 0 for no limit. */
    val ratePerSecond: Double,
    /** The number of requests allowed at once beyond the rate. */
    val burst: Double,
)

/** The configuration of the fleet at one version. */
public data class Manifest(
    val version: Long,
    val routes: List<ManifestRoute>,
    val services: Map<ServiceId, ServiceSpec>,
    val workspaces: List<WorkspaceSpec>,
    /** The maximum size of a request body in bytes. */
    val maxBodyBytes: Int,
) {
    private val byHost: Map<String, List<ManifestRoute>> =
        routes.groupBy { it.host }.mapValues { (_, list) -> list.sortedByDescending { it.prefix.length } }
    private val byKey: Map<String, WorkspaceSpec> =
        workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()
    private val byWorkspace: Map<WorkspaceId, WorkspaceSpec> = workspaces.associateBy { it.id }

    /** Returns the route with the longest prefix of [path] under [host], or null. */
    public fun route(
        host: String,
        path: String,
    ): ManifestRoute? = byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns the workspace that holds [key], or null. */
    public fun workspaceOfKey(key: String): WorkspaceSpec? = byKey[key]

    /** Returns the workspace with [id], or null. */
    public fun workspace(id: WorkspaceId): WorkspaceSpec? = byWorkspace[id]
}

/** Resolves the route and the workspace of a request; fails with `UNKNOWN_ROUTE` or `UNKNOWN_KEY`. */
public fun Manifest.admit(
    host: String,
    path: String,
    key: String?,
): Outcome<Admission> {
    val route = route(host, path) ?: return ErrorKind.UNKNOWN_ROUTE.toFailed("no route takes this host and path")
    if (route.isPublic) return Admission(route, key?.let { workspaceOfKey(it) }).toOk()
    return authenticate(key).map { Admission(route, it) }
}

/**
 * Returns the workspace that holds [key], or null if the manifest has no workspaces.
 *
 * Fails with `UNKNOWN_KEY`.
 */
public fun Manifest.authenticate(key: String?): Outcome<WorkspaceSpec?> {
    val workspace = key?.let { workspaceOfKey(it) }
    if (workspace == null && workspaces.isNotEmpty()) {
        return ErrorKind.UNKNOWN_KEY.toFailed("the key is missing or unknown")
    }
    return workspace.toOk()
}

/** The route and the workspace of a request; the workspace may be null on public routes and without workspaces. */
public data class Admission(
    val route: ManifestRoute,
    val workspace: WorkspaceSpec?,
) {
    /** The priority of the request; 0 is the highest. */
    val priority: Int get() = workspace?.priority ?: route.priority
}
