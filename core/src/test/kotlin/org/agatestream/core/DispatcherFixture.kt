package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val CHAT = ServiceId("chat")
internal val VM_A = VmId("a")
internal val VM_B = VmId("b")
internal val TEAM = WorkspaceId("team")
internal val START: MonotonicTime = MonotonicTime.ZERO + 100.seconds

/** A manifest with an online route, a batch route and one workspace. */
internal fun manifestOf(
    rate: Double = 0.0,
    burst: Double = 0.0,
    coldRate: Double = 0.0,
): Manifest {
    val online =
        ManifestRoute(
            name = "online",
            host = "h.example",
            prefix = "/online/",
            kind = RouteKind.STREAM,
            shares = listOf(RouteShare(CHAT, 1)),
            timeout = 5.seconds,
            latencyTarget = 300.milliseconds,
            priority = 0,
            maxAttempts = 1,
            isPublic = false,
            isResumable = false,
        )
    val batch =
        online.copy(
            name = "batch",
            prefix = "/batch/",
            kind = RouteKind.BATCH,
            priority = 2,
            maxAttempts = 3,
            jobs = JobRules(18.seconds, 60.seconds, 10_000),
        )
    return Manifest(
        version = 1,
        routes = listOf(online, batch),
        services = mapOf(CHAT to ServiceSpec(CHAT, coldRate)),
        workspaces = listOf(WorkspaceSpec(TEAM, setOf("key"), null, rate, burst)),
        maxBodyBytes = 1_000_000,
    )
}

internal fun serverOf(
    name: String,
    slots: Int = 2,
    coldTimeLeft: Duration = Duration.ZERO,
): UsableServer {
    val id = BackendServerId(name)
    val entry = ServerEntry(id, CHAT, "10.0.0.1:80", FailureDomainId("d"), slots, false, coldTimeLeft, 0)
    return UsableServer(entry, START + coldTimeLeft)
}

internal fun dispatcherOf(
    manifest: Manifest,
    vararg servers: UsableServer,
): Dispatcher {
    val dispatcher = Dispatcher(nextNumber = 1_000, random = Random(1))
    dispatcher.onManifest(manifest)
    dispatcher.onFollowers(listOf(VM_A, VM_B), 2)
    dispatcher.onServers(servers.toList(), START)
    dispatcher.allowItems(START)
    return dispatcher
}

internal fun requestOf(
    number: Long,
    at: MonotonicTime = START,
    meteredWorkspace: WorkspaceId? = null,
    priority: Int = 0,
    excluded: Set<BackendServerId> = emptySet(),
): PlaceRequest =
    PlaceRequest(
        CallId(VM_A, number),
        CHAT,
        meteredWorkspace,
        priority,
        at + 200.milliseconds,
        at + 3.seconds,
        excluded,
    )

internal fun jobOf(
    name: String,
    items: Int,
    dueIn: Duration = 18.seconds,
    manifestVersion: Long = 1,
): JobPlan =
    JobPlan(
        id = JobId(name),
        workspace = TEAM,
        host = "h.example",
        lifetime = JobLifetime(deadline = START + dueIn, expiresAt = START + 60.seconds),
        manifestVersion = manifestVersion,
        acceptedBy = VM_A,
        items = (1..items).map { PlannedItem(ItemId("$name-$it"), "/batch/$it") },
    )

internal fun List<DispatchAction>.placed(): List<Long> = filterIsInstance<DispatchAction.Place>().map { it.call.number }

internal fun List<DispatchAction>.stopped(): List<CallId> = filterIsInstance<DispatchAction.StopItem>().map { it.call }

internal fun List<DispatchAction>.started(): List<DispatchAction.StartItem> =
    filterIsInstance<DispatchAction.StartItem>()
