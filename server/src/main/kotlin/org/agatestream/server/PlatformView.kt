package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.FailureDomainId
import org.agatestream.core.Manifest
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RowStore
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServerIncarnation
import org.agatestream.core.ServerRegistry
import org.agatestream.core.ServiceId
import org.agatestream.core.StoredRow
import org.agatestream.core.drain.LeavingFact
import org.agatestream.core.rollout.RolloutOrder
import org.agatestream.core.rollout.RolloutStatus
import org.agatestream.core.rollout.VersionBook
import org.agatestream.platform.OperatorRow
import org.agatestream.platform.PlatformNames
import org.agatestream.platform.parseManifest
import org.agatestream.platform.parseRolloutOrder
import org.agatestream.platform.parseServerEntry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The manifest and backend servers as this VM knows them, from the store or, while it is unreachable, from peers. */
internal class PlatformView(
    private val store: RowStore,
    /** True if a server version that no order names gets nothing beside the one in use. */
    withholdsUnordered: Boolean = true,
    private val onViewChanged: (MonotonicTime) -> Unit,
) {
    var manifest: Manifest? = null
        private set
    var registry: ServerRegistry = ServerRegistry()
        private set

    /** Which versions of each service may get work. */
    val versions = VersionBook(withholdsUnordered)
    var operatorVersion = 0L
        private set
    var serverVersion = 0L
        private set

    /** True once the backend servers were read, from the store or from a peer. */
    var areServersKnown = false
        private set

    private val operatorRows = HashMap<String, ByteArray>()
    private var operatorsCurrentAt: MonotonicTime? = null
    private var rolloutOrders: Map<ServiceId, RolloutOrder> = emptyMap()
    private val serverRows = HashMap<String, ByteArray>()

    // The rows as they were last packed for other VMs.
    private var packedOperators: PackedRows? = null
    private var packedServers: PackedRows? = null
    private var draining: Set<ServerIncarnation> = emptySet()
    private var lastContactAt: MonotonicTime? = null
    private var isInContact = false

    /** Returns whether the store answered a call within the last [timeout]. */
    fun isStoreReachable(
        now: MonotonicTime,
        timeout: Duration = STORE_CONTACT_TIMEOUT,
    ): Boolean = lastContactAt?.let { now - it <= timeout } == true

    /**
     * Returns whether this VM knows what the operators ordered until shortly before [now].
     *
     * One that was paused, or does not reach the store, may not refuse a request for good by what it knows.
     */
    fun areOperatorsCurrent(now: MonotonicTime): Boolean =
        operatorsCurrentAt?.let { now - it <= OPERATORS_CURRENT_FOR } == true

    private fun onOperatorsCurrent(at: MonotonicTime) {
        operatorsCurrentAt = at
    }

    /** Records whether the store answered a call. */
    fun onStoreContact(
        answered: Boolean,
        now: MonotonicTime,
    ) {
        if (answered) {
            val last = lastContactAt
            if (!isInContact || last == null || now - last > STORE_CONTACT_TIMEOUT) {
                registry = registry.onStoreRegained(now)
                EventLog.info("store_regained", "outage" to last?.let { now - it })
            }
            isInContact = true
            lastContactAt = now
        } else if (isInContact) {
            isInContact = false
            EventLog.warn("store_lost", "last_answer" to lastContactAt?.let { now - it })
        }
    }

    fun start(scope: CoroutineScope) {
        val operators =
            TableFeed.of(
                store,
                PlatformNames.OPERATOR_TABLE,
                ::replaceOperatorRows,
                ::applyOperatorChanges,
                onCurrent = ::onOperatorsCurrent,
            )
        val servers =
            TableFeed.of(
                store,
                PlatformNames.SERVER_TABLE,
                ::replaceServerRows,
                ::applyServerChanges,
                collectFor = { SERVER_COLLECT_TIME },
            )
        scope.launch { operators.run() }
        scope.launch { servers.run() }
        scope.launch {
            while (isActive) {
                delay(EXPIRY_INTERVAL)
                expire(MonotonicTime.now())
            }
        }
    }

    /** Reads the operator's rows now, without waiting for the feed. */
    suspend fun refreshOperatorRows() {
        store.readAll(PlatformNames.OPERATOR_TABLE, "")?.let { replaceOperatorRows(it.rows, it.version) }
    }

    /** Applies what the coordinator says about roll-outs. */
    fun applyRollouts(notices: List<RolloutNotice>) {
        for (notice in notices) versions.onStatus(notice.service, RolloutStatus(notice.outcome, notice.target))
    }

    /** Returns the rows of the tables that are newer than the versions [operators] and [servers]; null if none is. */
    fun snapshotSince(
        operators: Long,
        servers: Long,
    ): PlatformSnapshot? {
        if (operatorVersion <= operators && serverVersion <= servers) return null
        return PlatformSnapshot.of(
            operators = if (operatorVersion > operators) packedOperators() else null,
            servers = if (serverVersion > servers) packedServers() else null,
        )
    }

    private fun packedOperators(): PackedRows =
        packedOperators?.takeIf { it.version == operatorVersion }
            ?: PackedRows.of(operatorVersion, operatorRows).also { packedOperators = it }

    private fun packedServers(): PackedRows =
        packedServers?.takeIf { it.version == serverVersion }
            ?: PackedRows.of(serverVersion, serverRows).also { packedServers = it }

    /** Applies the parts of another VM's snapshot that are newer than this VM's rows. */
    fun applySnapshot(
        snapshot: PlatformSnapshot,
        now: MonotonicTime,
    ) {
        snapshot.operatorsSince(operatorVersion)?.let { operators ->
            operatorRows.clear()
            operators.rows.forEach { operatorRows[it.key] = it.value }
            operatorVersion = operators.version
            applyOperatorRows("peer")
        }
        snapshot.serversSince(serverVersion)?.let { servers ->
            serverRows.clear()
            servers.rows.forEach { serverRows[it.key] = it.value }
            serverVersion = servers.version
            applyAllServers(now)
        }
        onChange(now)
    }

    /** Records that [server] told this VM that it is leaving; returns false if that is no news. */
    fun onLeaving(
        server: ServerIncarnation,
        now: MonotonicTime,
    ): Boolean = updateRegistry(registry.onLeaving(server, now), now)

    /** Adds what another VM knows about leaving servers. */
    fun mergeLeaving(
        facts: List<LeavingFact>,
        now: MonotonicTime,
    ) {
        updateRegistry(registry.mergeLeaving(facts, now), now)
    }

    private fun updateRegistry(
        next: ServerRegistry,
        now: MonotonicTime,
    ): Boolean {
        if (next === registry) return false
        registry = next
        applyServerVersions()
        onChange(now)
        return true
    }

    private fun onChange(now: MonotonicTime) {
        logDraining(now)
        onViewChanged(now)
    }

    private fun logDraining(now: MonotonicTime) {
        val servers = registry.draining(now)
        for (server in servers) {
            if (server.server in draining) continue
            EventLog.info("server_leaving", "server" to server.server, "source" to server.source, "age" to server.age)
        }
        draining = servers.mapTo(HashSet()) { it.server }
    }

    private fun replaceOperatorRows(
        rows: List<StoredRow>,
        version: Long,
    ) {
        if (version < operatorVersion) return
        operatorRows.clear()
        applyOperatorChanges(rows, version)
    }

    private fun applyOperatorChanges(
        rows: List<StoredRow>,
        version: Long,
    ) {
        if (version < operatorVersion) return
        rows.forEach { operatorRows.put(it.name.key, it.value) }
        operatorVersion = version
        applyOperatorRows("store")
        onChange(MonotonicTime.now())
    }

    private fun applyOperatorRows(source: String) {
        val domains = HashSet<FailureDomainId>()
        val orders = HashMap<ServiceId, RolloutOrder>()
        for ((key, value) in operatorRows) {
            when (val row = PlatformNames.operatorRow(key)) {
                is OperatorRow.ManifestRow -> {
                    applyManifest(value, source)
                }

                is OperatorRow.Evacuation -> {
                    domains += row.domain
                }

                is OperatorRow.Rollout -> {
                    readOrder(row.service, value)?.let { orders[row.service] = it }
                }

                null -> {}
            }
        }
        applyOrders(orders, source)
        if (domains != registry.outOfService) {
            EventLog.info("evacuation_changed", "domains" to domains.joinToString(","), "source" to source)
            registry = registry.onOutOfService(domains)
        }
    }

    /** Returns the order in the row of [service]; an unreadable row leaves the order as it was. */
    private fun readOrder(
        service: ServiceId,
        value: ByteArray,
    ): RolloutOrder? =
        when (val parsed = parseRolloutOrder(service, value)) {
            is Outcome.Ok -> {
                parsed.value
            }

            is Outcome.Failed -> {
                EventLog.warn("rollout_order_unreadable", "service" to service, "reason" to parsed.failure.message)
                rolloutOrders[service]
            }
        }

    private fun applyOrders(
        orders: Map<ServiceId, RolloutOrder>,
        source: String,
    ) {
        if (orders == rolloutOrders) return
        for (service in rolloutOrders.keys - orders.keys) EventLog.info("rollout_withdrawn", "service" to service)
        for (order in orders.values - rolloutOrders.values.toSet()) {
            EventLog.info(
                "rollout_ordered",
                "service" to order.service,
                "target" to order.target,
                "duration" to order.duration,
                "source" to source,
            )
        }
        rolloutOrders = orders
        versions.onOrders(orders.values)
    }

    private fun applyServerVersions() {
        versions.onServers(registry.all().filter { !it.isDraining })
    }

    private fun applyManifest(
        bytes: ByteArray,
        source: String,
    ) {
        when (val parsed = parseManifest(bytes)) {
            is Outcome.Ok -> {
                if (parsed.value.version == manifest?.version) return
                manifest = parsed.value
                EventLog.info("manifest_applied", "version" to parsed.value.version, "source" to source)
            }

            is Outcome.Failed -> {
                EventLog.warn("manifest_unreadable", "reason" to parsed.failure.message)
            }
        }
    }

    private fun replaceServerRows(
        rows: List<StoredRow>,
        version: Long,
    ) {
        if (version < serverVersion) return
        serverRows.clear()
        rows.forEach { serverRows.put(it.name.key, it.value) }
        serverVersion = version
        val now = MonotonicTime.now()
        applyAllServers(now)
        onChange(now)
    }

    private fun applyAllServers(now: MonotonicTime) {
        areServersKnown = true
        registry = registry.onSnapshot(serverRows.mapNotNull { (key, value) -> readEntry(key, value) }, now)
        applyServerVersions()
    }

    private fun applyServerChanges(
        rows: List<StoredRow>,
        version: Long,
    ) {
        val now = MonotonicTime.now()
        for (row in rows) {
            serverRows.put(row.name.key, row.value)
            val entry = row.value?.let { readEntry(row.name.key, it) }
            registry =
                if (entry !=
                    null
                ) {
                    registry.onEntry(entry, now)
                } else {
                    registry.onRemoved(PlatformNames.serverId(row.name), now)
                }
            EventLog.info(
                "server_entry",
                "server" to row.name.key,
                "state" to (entry?.let { if (it.isDraining) "draining" else "ready" } ?: "gone"),
                "version" to row.version,
            )
        }
        serverVersion = maxOf(serverVersion, version)
        applyServerVersions()
        onChange(now)
    }

    private fun readEntry(
        key: String,
        value: ByteArray,
    ): ServerEntry? =
        when (val parsed = parseServerEntry(key, value)) {
            is Outcome.Ok -> {
                parsed.value
            }

            is Outcome.Failed -> {
                EventLog.info("server_entry_unreadable", "server" to key, "reason" to parsed.failure.message)
                null
            }
        }

    private fun expire(now: MonotonicTime) {
        updateRegistry(registry.expire(now), now)
    }

    private companion object {
        // Longer than the long poll of the feeds, which the store answers at least once per second.
        val STORE_CONTACT_TIMEOUT = 1600.milliseconds
        val EXPIRY_INTERVAL = 200.milliseconds

        // The shortest time in which a change of the manifest must take effect; a feed is current at least once per second.
        val OPERATORS_CURRENT_FOR = 2.seconds

        // A fortieth of the shortest time for which a leaving server still serves; whole zones change at once.
        val SERVER_COLLECT_TIME = 50.milliseconds
    }
}

private fun MutableMap<String, ByteArray>.put(
    key: String,
    value: ByteArray?,
) {
    if (value == null) remove(key) else this[key] = value
}
