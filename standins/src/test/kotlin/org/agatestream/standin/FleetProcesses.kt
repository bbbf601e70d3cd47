package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import org.agatestream.server.PlatformVmConfig
import java.io.File
import kotlin.time.Duration.Companion.seconds

/**
 * The VMs of a fleet as processes of the binary, beside a store and backend servers in this process.
 *
 * VMs named in [storeLinks] reach the store by a link of that many bytes per second, and leave it to the others to coordinate.
 */
internal class FleetProcesses(
    names: List<String>,
    val servers: List<PlatformServerStandIn>,
    private val manifest: String,
    private val directory: File,
    private val storeLinks: Map<String, Long> = emptyMap(),
) : AutoCloseable {
    /** A VM and the process that runs it; a VM keeps its addresses when it is started again. */
    class Vm(
        val config: PlatformVmConfig,
        val settings: File,
    ) {
        lateinit var process: FleetProcess
    }

    val store = RowStoreStandIn()
    private val storeAddress = "127.0.0.1:${store.listen(0)}"
    private val links = storeLinks.mapValues { (_, bytesPerSecond) -> SlowLink(storeAddress, bytesPerSecond) }
    private var starts = 0
    val vms: List<Vm> = names.map { name -> Vm(configOf(name), File(directory, "$name.json")) }

    /** Starts all VMs and returns once each is ready and one of them coordinates. */
    suspend fun start() {
        directory.mkdirs()
        store.put("op", "config", manifest)
        for (server in servers) {
            val address = "127.0.0.1:${server.listen(0)}"
            val entry = """{"Service":"s","Address":"$address","Zone":"d","Slots":$SLOTS,"State":"ready"}"""
            store.put("servers", server.id, entry)
        }
        for (vm in vms) start(vm)
        for (vm in vms) eventually(START_TIMEOUT) { isReady(vm) shouldBe true }
        eventually(START_TIMEOUT) { store.valueOf("fleet", "coordinator").shouldNotBeNull() }
    }

    /** Starts the process of [vm], which must not run. */
    fun start(vm: Vm) {
        vm.settings.writeText(Json.encodeToString(PlatformVmConfig.serializer(), vm.config))
        val arguments = listOf("-Xmx128m", "-Xss256k", "-jar", BINARY.path, "fleet", "--config", vm.settings.path)
        val environment = mapOf("AGATESTREAM_FLEET_SECRET" to "fleet-secret-of-a-test-0123456789")
        vm.process = FleetProcess.java("${vm.config.name}-${starts++}", arguments, environment, directory)
    }

    /** Returns the VM that the store names as coordinator. */
    fun coordinator(): Vm? {
        val row = store.valueOf("fleet", "coordinator") ?: return null
        return vms.find { """"${it.config.name}"""" in row }
    }

    /** Returns whether [vm] answers the platform's probe of readiness with 200. */
    fun isReady(vm: Vm): Boolean =
        StreamCaller.get(vm.config.readyAddress, "/-/readiness")?.startsWith("HTTP/1.1 200") == true

    override fun close() {
        for (vm in vms) vm.process.killAndWait()
        links.values.forEach { it.close() }
        store.close()
        servers.forEach { it.close() }
    }

    private fun configOf(name: String): PlatformVmConfig {
        val address = links[name]?.address ?: storeAddress
        val config = vmConfigOf(name, address, graceSeconds = GRACE.inWholeSeconds.toDouble(), ttlSeconds = 5.0)
        return if (name in links) config.copy(coreShare = SMALL_CORE_SHARE) else config
    }

    companion object {
        /** The time from SIGTERM until the platform kills a process. */
        val GRACE = 8.seconds
        private const val SLOTS = 16
        private const val SMALL_CORE_SHARE = 0.1
        private val START_TIMEOUT = 20.seconds
        private val BINARY = File("../cli/target/agatestream")
    }
}
