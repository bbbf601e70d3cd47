package org.agatestream.server

import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.job
import kotlinx.coroutines.runBlocking
import org.agatestream.core.AtMostOnceRecord
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.CallerKey
import org.agatestream.core.CommitResult
import org.agatestream.core.ErrorKind
import org.agatestream.core.FailureDomainId
import org.agatestream.core.FleetView
import org.agatestream.core.KeyHasher
import org.agatestream.core.KeyId
import org.agatestream.core.ListedVm
import org.agatestream.core.ModelId
import org.agatestream.core.ModelSetting
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.Plan
import org.agatestream.core.ReadResult
import org.agatestream.core.RouteId
import org.agatestream.core.RouteSetting
import org.agatestream.core.Row
import org.agatestream.core.RowVersion
import org.agatestream.core.TableService
import org.agatestream.core.Transaction
import org.agatestream.core.VmId
import org.agatestream.core.Workspace
import org.agatestream.core.WorkspaceId
import org.agatestream.core.WorkspaceSetting
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.http.BodyPart
import org.agatestream.http.EventLoops
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.HttpLimits
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.HttpServer
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

const val CALLER_KEY = "agk_secret"
val keyHasher = KeyHasher("fleet secret".encodeToByteArray())

class FakeCoordination(
    override var fleet: FleetView,
) : Coordination {
    private val listeners = CopyOnWriteArrayList<(Coordination) -> Unit>()
    override var plan = Plan()
    override var vms: List<ListedVm> = emptyList()

    @Volatile
    var current = true

    /** Called at the start of each check whether the VM is current. */
    @Volatile
    var beforeCheck: () -> Unit = {}

    override fun isCurrent(now: MonotonicTime): Boolean {
        beforeCheck()
        return current
    }

    override fun onChange(listener: (Coordination) -> Unit) {
        listeners += listener
    }

    fun update(newFleet: FleetView) {
        fleet = newFleet
        listeners.forEach { it(this) }
    }
}

class FakeSlots(
    private val coordination: Coordination,
) : BackendSlots {
    val released = CopyOnWriteArrayList<Pair<BackendServerId, SlotResult>>()

    @Volatile
    var lastRevoked: CompletableJob = Job()

    override suspend fun acquire(request: SlotRequest): Outcome<SlotLease> {
        val server = (request.candidates - request.excluded).minByOrNull { it.value }
        if (server == null) return ErrorKind.NO_CAPACITY.toFailed("no server")
        return Lease(server).toOk()
    }

    private inner class Lease(
        override val server: BackendServerId,
    ) : SlotLease {
        override val setting = coordination.fleet.backendServers.getValue(server)
        override val revoked: CompletableJob = Job().also { lastRevoked = it }

        override fun release(result: SlotResult) {
            released += server to result
        }
    }
}

/** An in-memory table that can be down or lose the responses to commits that took effect. */
class FakeTable : TableService {
    private val rows = ConcurrentHashMap<String, Row>()

    @Volatile
    var isDown = false

    @Volatile
    var lostResponses = 0

    override suspend fun read(key: String): ReadResult<Row> =
        if (isDown) ReadResult.Unavailable else rows[key]?.let { ReadResult.Found(it) } ?: ReadResult.Absent

    override suspend fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): ReadResult<List<Row>> = ReadResult.Unavailable

    @Synchronized
    private fun apply(transaction: Transaction): CommitResult {
        val failed = transaction.conditions.filter { (rows[it.key]?.version ?: RowVersion.ABSENT) != it.version }
        if (failed.isNotEmpty()) return CommitResult.Conflict(failed.mapNotNull { rows[it.key] })
        transaction.writes.forEach {
            val version = (rows[it.key]?.version ?: RowVersion.ABSENT).value + 1
            rows[it.key] = Row(it.key, checkNotNull(it.value), RowVersion(version))
        }
        return CommitResult.Committed
    }

    override suspend fun commit(transaction: Transaction): CommitResult {
        if (isDown) return CommitResult.Unavailable
        val result = apply(transaction)
        if (lostResponses-- > 0) return CommitResult.Unknown
        return result
    }

    fun records(): List<AtMostOnceRecord> = rows.values.mapNotNull { AtMostOnceRecord.parse(it.value) }
}

/** The request path of one entry VM of a fixture. */
class FakeVm(
    private val fixture: OnlineFixture,
    id: String,
    grace: Duration,
) : PeerNetwork {
    override val self = VmId(id)
    val atMostOnceCalls = AtMostOnceCalls(fixture.table, this, fixture.coordination, fixture.scope)
    val leavingVms = LeavingVms(fixture.coordination)
    val shutdown = GracefulShutdown(300.milliseconds, grace)
    private val online =
        with(fixture) {
            OnlineRoutes(coordination, limits, slots, client, keyHasher, atMostOnceCalls, leavingVms, 10, scope)
        }
    val items = with(fixture) { BackendItemRunner(coordination, slots, client, atMostOnceCalls, scope) }
    private val router = Router(listOf(online), shutdown)
    val server = with(fixture) { HttpServer.start(loops, ANY_PORT, HttpLimits(), scope, router::handle) }
    val address = "127.0.0.1:${server.port}"

    override suspend fun call(
        peer: VmId,
        request: PeerRequest,
        timeout: Duration,
    ): PeerResponse? {
        val other = fixture.vms.firstOrNull { it.self == peer } ?: return null
        return when (request) {
            is ClaimStatusRequest -> other.atMostOnceCalls.answer(request)
            is LeavingNotice -> other.leavingVms.record(request)
            else -> null
        }
    }

    private companion object {
        val ANY_PORT = InetSocketAddress("127.0.0.1", 0)
    }
}

/** An entry VM in front of two fake backend servers; [addVm] adds further VMs. */
class OnlineFixture : AutoCloseable {
    val loops = EventLoops(2)
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val first = FakeBackend(loops, scope)
    val second = FakeBackend(loops, scope)
    val coordination = FakeCoordination(fleet())
    val slots = FakeSlots(coordination)
    val client = HttpClient(loops)
    val table = FakeTable()
    var admission: Outcome<Unit> = Unit.toOk()
    val limits =
        object : WorkspaceLimits {
            override suspend fun admit(
                workspace: WorkspaceId,
                deadline: MonotonicTime,
            ) = admission
        }
    val vms = CopyOnWriteArrayList<FakeVm>()
    val vm = addVm("vm1")

    fun addVm(
        id: String,
        grace: Duration = 5.seconds,
    ): FakeVm =
        FakeVm(this, id, grace).also {
            vms += it
            coordination.vms += ListedVm(it.self, FailureDomainId("rennes"), it.address, "")
        }

    private fun fleet(): FleetView {
        val domain = FailureDomainId("rennes")
        val model = ModelId("m")
        val engine = BackendServerSetting(first.address, domain, BackendKind.ENGINE, listOf(model))
        val service = BackendServerSetting(first.address, domain, BackendKind.SERVICE)
        val workspace = Workspace(WorkspaceId("w"), "team", WorkspaceSetting(100.0, 100, listOf(model)))
        return FleetView(
            backendServers =
                mapOf(
                    BackendServerId("e1") to engine,
                    BackendServerId("e2") to engine.copy(address = second.address),
                    BackendServerId("s1") to service,
                    BackendServerId("s2") to service.copy(address = second.address),
                ),
            models = mapOf(model to ModelSetting(1000), ModelId("other") to ModelSetting()),
            routes =
                mapOf(
                    RouteId("wheels") to serviceRoute(isOpen = false),
                    RouteId("public") to serviceRoute(isOpen = true),
                ),
            workspaces = mapOf(workspace.id to workspace),
            callerKeys = mapOf(keyHasher.hash(CALLER_KEY) to CallerKey(KeyId("k"), workspace.id)),
        )
    }

    private fun serviceRoute(isOpen: Boolean) =
        RouteSetting(listOf(BackendServerId("s1"), BackendServerId("s2")), isOpen, listOf("/length"))

    suspend fun send(
        method: String,
        target: String,
        body: String = "",
        vararg headers: Pair<String, String>,
        key: String? = CALLER_KEY,
        via: FakeVm = vm,
    ): TestResponse = startRequest(method, target, body, *headers, key = key, via = via).readResponse()

    suspend fun startRequest(
        method: String,
        target: String,
        body: String = "",
        vararg headers: Pair<String, String>,
        key: String? = CALLER_KEY,
        via: FakeVm = vm,
    ): HttpClientResponse {
        val authorization = listOfNotNull(key?.let { "authorization" to "Bearer $it" })
        val spec = HttpRequestSpec(via.address, method, target, authorization + headers, body.encodeToByteArray())
        return (client.exchange(spec) as ExchangeResult.Answered).response
    }

    suspend fun complete(
        stream: Boolean,
        path: String = "/v1/completions",
        vararg headers: Pair<String, String>,
    ): TestResponse = send("POST", path, completionBody(stream, chat = "chat" in path), *headers)

    override fun close() {
        runBlocking { scope.coroutineContext.job.cancelAndJoin() }
        vms.forEach { it.server.closeNow() }
        first.close()
        second.close()
        loops.close()
    }
}

fun completionBody(
    stream: Boolean,
    chat: Boolean = false,
): String {
    val prompt = if (chat) """"messages":[{"role":"user","content":"hi"}]""" else """"prompt":"hi""""
    return """{"model":"m",$prompt,"max_tokens":${FakeBackend.TOKENS},"stream":$stream}"""
}

class TestResponse(
    val status: Int,
    val head: HttpClientResponse,
    val text: String,
    val isComplete: Boolean,
)

suspend fun HttpClientResponse.readResponse(): TestResponse {
    val out = ByteArrayOutputStream()
    while (true) {
        when (val part = nextChunk()) {
            is BodyPart.Chunk -> out.write(part.bytes)
            is BodyPart.End -> return TestResponse(status, this, out.toString(), true)
            is BodyPart.Broken -> return TestResponse(status, this, out.toString(), false)
        }
    }
}
