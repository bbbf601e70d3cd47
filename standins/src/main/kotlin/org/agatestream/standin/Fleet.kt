package org.agatestream.standin

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ListedVm
import org.agatestream.core.VmId
import org.agatestream.http.parseAddress
import org.agatestream.server.VmConfig
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Paths of the programs and of the logs. */
internal class FleetFiles(
    /** The jar of the system. */
    val binary: File,
    /** The class path of the stand-ins. */
    val standInClassPath: String,
    /** The directory for the settings files and logs of a run. */
    val directory: File,
)

/** A VM of a scenario. */
internal class FleetVm(
    val listed: ListedVm,
    val process: FleetProcess,
) {
    @Volatile
    var isFrozen = false

    /** Whether callers may still use its address. */
    @Volatile
    var isCallable = true

    val isLive: Boolean get() = process.isAlive && !isFrozen
}

/** A backend server of a scenario. */
internal class FleetServer(
    val name: String,
    val domain: FailureDomainId,
    val address: String,
    /** The address in the system's settings; the relay's if there is one. */
    val publicAddress: String,
    val process: FleetProcess,
)

/** The processes of one scenario and the network between them; [close] terminates them. */
internal class Fleet(
    val spec: FleetSpec,
    private val files: FleetFiles,
    /** True if connections go through relays, so that links can be cut or delayed. */
    private val usesRelays: Boolean,
) : AutoCloseable {
    private val http = ScenarioCaller()
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val relays = ConcurrentHashMap<String, Relay>()
    private val links = ConcurrentHashMap<Set<String?>, LinkState>()
    private val processes = mutableListOf<FleetProcess>()
    private val secret =
        mapOf(SECRET_VARIABLE to "scenario-fleet-secret-0123456789", BOOTSTRAP_VARIABLE to OPERATOR_KEY)
    private val domainsByProcess = ConcurrentHashMap<String, FailureDomainId>()
    private lateinit var platform: String
    val vms = LinkedHashMap<VmId, FleetVm>()
    val servers = LinkedHashMap<String, FleetServer>()

    /** VMs that run and are not frozen. */
    val liveVms: List<FleetVm> get() = vms.values.filter { it.isLive }

    /** VMs whose addresses callers may still use. */
    val callableVms: List<FleetVm> get() = vms.values.filter { it.isCallable && !it.isFrozen }

    suspend fun start() {
        files.directory.mkdirs()
        startStandIns()
        setFaults(Faults())
        val domains = (1..spec.vms).map { VmId("vm-$it") to domain(it) }
        val planned = domains.map { (id, domain) -> listed(id, domain) }
        planned.forEach { launch(it, planned) }
        publishVms()
        vms.values.forEach { awaitReady(it) }
    }

    /** Starts an additional VM and waits until it is ready. */
    suspend fun startVm(
        id: VmId,
        domain: FailureDomainId,
    ) {
        val vm = listed(id, domain)
        launch(vm, vms.values.filter { it.process.isAlive }.map { it.listed } + vm)
        publishVms()
        awaitReady(vm(id))
    }

    fun vm(id: VmId): FleetVm = vms[id] ?: throw ScenarioFailure("there is no VM $id")

    fun server(name: String): FleetServer = servers[name] ?: throw ScenarioFailure("there is no backend server $name")

    /** Returns the server named [target], or the servers of the failure domain [target]. */
    fun serversOf(target: String): List<FleetServer> =
        servers.values.filter { it.name == target || it.domain.value == target }

    /** Updates the platform's VM list: removes terminated VMs and marks [leaving]. */
    suspend fun publishVms(leaving: VmId? = null) {
        val current = vms.values.filter { it.process.isAlive }.map { it.listed.copy(leaving = it.listed.id == leaving) }
        val listedVms = current.map { it.copy(peerAddress = peerAddress(it)) }
        control(platform, "/standin/vms", Json.encodeToString(ListSerializer(ListedVm.serializer()), listedVms))
    }

    suspend fun setFaults(faults: Faults) {
        val lag = if (faults.lagMillis == 0L) spec.lag.inWholeMilliseconds else faults.lagMillis
        val json = Json.encodeToString(Faults.serializer(), faults.copy(lagMillis = lag))
        control(platform, "/standin/faults", json)
    }

    suspend fun control(
        address: String,
        target: String,
        json: String,
    ) {
        val result = http.send(address, "POST", target, body = json)
        if (result.status != STATUS_OK) throw ScenarioFailure("$target of a stand-in: $result")
    }

    suspend fun records(address: String): RequestRecords =
        standInJson.decodeFromString(RequestRecords.serializer(), read(address, "/standin/records"))

    suspend fun read(
        address: String,
        target: String,
    ): String = http.send(address, "GET", target).body

    /** Returns the records of all stand-ins by name. */
    suspend fun allRecords(): Map<String, RequestRecords> =
        (servers.mapValues { it.value.address } + (PLATFORM to platform)).mapValues { records(it.value) }

    /** Sets the link between two processes in both directions; null for [state] restores the initial state. */
    fun setLink(
        from: String,
        to: String,
        state: LinkState?,
    ) {
        val vmNames = vms.keys.map { it.value }
        val others =
            when (to) {
                ALL -> vmNames + PLATFORM - from
                VMS -> vmNames - from
                else -> listOf(to)
            }
        val unknown = (others + from).filter { it !in vmNames && it !in servers && it != PLATFORM }
        if (unknown.isNotEmpty()) throw ScenarioFailure("there is no process ${unknown.first()}")
        others.forEach { if (state == null) links.remove(setOf(from, it)) else links[setOf(from, it)] = state }
    }

    override fun close() {
        processes.forEach { it.terminate() }
        relays.values.forEach { it.close() }
        group.shutdownGracefully()
    }

    private fun FleetProcess.terminate() {
        if (isAlive) killAndWait()
    }

    private suspend fun startStandIns() =
        coroutineScope {
            val platformPort = async { launchStandIn(PLATFORM, listOf("platform")).awaitPort() }
            val servers =
                (1..spec.engines).map { async { startServer("engine-$it", domain(it), engineArguments()) } } +
                    async { startServer(SERVICE, domain(1), listOf("service")) }
            platform = "127.0.0.1:${platformPort.await()}"
            servers.awaitAll().forEach { this@Fleet.servers[it.name] = it }
        }

    private suspend fun startServer(
        name: String,
        domain: FailureDomainId,
        arguments: List<String>,
    ): FleetServer {
        val process = launchStandIn(name, arguments)
        val address = "127.0.0.1:${process.awaitPort()}"
        return FleetServer(name, domain, address, relay(name, address), process)
    }

    private fun engineArguments(): List<String> {
        val sizes = listOf("--cold-slots", "${spec.coldSlots}", "--max-running", "${spec.warmSlots}")
        val speed = listOf("--step-micros", "5000", "--request-micros", "200", "--prefill-millis", "10")
        return listOf("engine") + sizes + speed + if (spec.cold) listOf("--cold") else emptyList()
    }

    private fun launchStandIn(
        name: String,
        arguments: List<String>,
    ): FleetProcess = launch(name, listOf("-cp", files.standInClassPath, "org.agatestream.standin.MainKt") + arguments)

    private fun launch(
        vm: ListedVm,
        others: List<ListedVm>,
    ) {
        val seeds = others.filter { it.id != vm.id }.map { peerAddress(it) }
        val config =
            VmConfig(
                vm = vm.id,
                failureDomain = vm.failureDomain,
                callerAddress = vm.callerAddress,
                peerAddress = vm.peerAddress,
                platformAddress = relay(PLATFORM, platform),
                seedPeers = seeds,
                entryTtlSeconds = spec.entryTtlSeconds,
            )
        val file = File(files.directory, "${vm.id}.json")
        file.writeText(Json.encodeToString(VmConfig.serializer(), config))
        val process = launch(vm.id.value, listOf("-jar", files.binary.path, "serve", "--config", file.path))
        vms[vm.id] = FleetVm(vm, process)
    }

    private fun launch(
        name: String,
        arguments: List<String>,
    ): FleetProcess {
        val process = FleetProcess.java(name, arguments, secret, files.directory)
        synchronized(processes) { processes += process }
        return process
    }

    private suspend fun awaitReady(vm: FleetVm) {
        withTimeoutOrNull(START_TIMEOUT) {
            while (http.send(vm.listed.callerAddress, "GET", "/health/ready").status != STATUS_OK) {
                if (!vm.process.isAlive) throw ScenarioFailure("${vm.listed.id} ended; see ${vm.process.log}")
                delay(POLL_INTERVAL)
            }
        } ?: throw ScenarioFailure("${vm.listed.id} is not ready; see ${vm.process.log}")
    }

    private fun peerAddress(vm: ListedVm): String = relay(vm.id.value, vm.peerAddress)

    /** Returns the address at which VMs connect to the process [name]: its relay's, or [address] without relays. */
    private fun relay(
        name: String,
        address: String,
    ): String {
        if (!usesRelays) return address
        val relay = relays.computeIfAbsent(name) { Relay(group, parseAddress(address), linksTo(name)) }
        return relay.address
    }

    /** Identifies the caller by its process: VMs share addresses, so the address used does not tell who connects. */
    private fun linksTo(name: String): (Int, Int) -> () -> LinkState =
        { fromPort, relayPort ->
            val byPid = vms.values.associate { it.process.pid to it.listed.id.value }
            val caller = byPid[ConnectionOwner.find(fromPort, relayPort, byPid.keys)]
            val currentState: () -> LinkState = { links[setOf(caller, name)] ?: initialState(caller, name) }
            currentState
        }

    private fun initialState(
        from: String?,
        to: String,
    ): LinkState {
        val ends = listOfNotNull(from, to).mapNotNull { domainsByProcess[it] }
        return if (ends.distinct().size == 2) LinkState(delay = spec.delay) else LinkState()
    }

    private fun domain(number: Int) = FailureDomainId("d${(number - 1) % spec.domains + 1}")

    private fun listed(
        id: VmId,
        domain: FailureDomainId,
    ): ListedVm {
        domainsByProcess[id.value] = domain
        return ListedVm(id, domain, FreePorts.nextAddress(), FreePorts.nextAddress())
    }

    companion object {
        const val PLATFORM = "platform"
        const val SERVICE = "service-1"
        const val VMS = "vms"
        const val ALL = "all"
        const val OPERATOR_KEY = "ago_scenario-operator-0123456789abcdef"
        private const val SECRET_VARIABLE = "AGATESTREAM_FLEET_SECRET"
        private const val BOOTSTRAP_VARIABLE = "AGATESTREAM_BOOTSTRAP_OPERATOR_KEY"
        private val START_TIMEOUT = 30.seconds
        private val POLL_INTERVAL = 50.milliseconds
    }
}
