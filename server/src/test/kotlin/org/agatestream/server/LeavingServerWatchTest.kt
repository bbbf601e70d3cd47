package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.Serializable
import org.agatestream.core.BackendServerId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PromptPart
import org.agatestream.core.RunningCall
import org.agatestream.core.ServerEntry
import org.agatestream.http.BodyPart
import org.agatestream.http.HttpClientResponse
import org.agatestream.platform.BackendProtocol
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime.ZERO + 100.seconds
private val LEAVING = BackendServerId("i-1")

/** A signed response of a leaving server. */
private class LeavingAnswer(
    private val named: String? = null,
    override val status: Int = 200,
) : HttpClientResponse {
    override val isBodyDelimited = true

    override fun headers() =
        listOf("x-agatestream-attempt-id" to "r", "x-agatestream-response-signature" to "s", "server-leaving" to "1") +
            listOfNotNull(named?.let { "x-agatestream-instance-id" to it })

    override fun header(name: String): String? = headers().find { it.first == name }?.second

    override suspend fun nextChunk() = BodyPart.End

    override fun close() = Unit
}

/** What a VM knows and shares. */
private class Vm {
    var reports = 0
    val view = PlatformView(FakeRowStore()) {}
    val watch = LeavingServerWatch(view) { reports++ }

    init {
        showRows(version = 1, born = 1)
    }

    fun showRows(
        version: Long,
        born: Long,
    ) {
        val rows =
            listOf(LEAVING.value to born, "i-2" to 1L).map { (id, start) ->
                val text =
                    """{"Service":"s","Address":"127.0.0.1:1","Zone":"d","Slots":8,"State":"ready","born":$start}"""
                SnapshotRow(id, text.encodeToByteArray())
            }
        view.applySnapshot(PlatformSnapshot(0, emptyList(), version, rows), NOW)
    }

    fun entry(): ServerEntry = view.registry.find(LEAVING)!!

    fun hear(
        server: ServerEntry = entry(),
        answer: LeavingAnswer = LeavingAnswer(),
    ) = watch.onHead(server, answer, BackendProtocol.read(answer), NOW)

    fun usable() = view.registry.usable().map { it.entry.id.value }

    /** Sends a report to [coordinator] and applies its response; returns the facts that passed in each direction. */
    fun report(coordinator: Vm): Pair<Int?, Int?> {
        val report = watch.report(NOW)
        val answer = coordinator.watch.answer(report, NOW)
        watch.onAnswered(answer, NOW)
        return report.facts?.size to answer.facts?.size
    }
}

/** A request of a VM whose build does not know of leaving servers. */
@Serializable
private class EarlierSnapshotRequest(
    val operatorVersion: Long,
    val serverVersion: Long,
    val coordinatorVersion: Long,
)

// Guards against leaving servers that only the VM that heard of it keeps away from, and against needless messages.
class LeavingServerWatchTest :
    FunSpec({
        test("the coordinator and through it other VMs learn it in one report each, and later ones carry nothing") {
            val (coordinator, first, second) = List(3) { Vm() }
            first.report(coordinator) shouldBe (null to null)
            first.hear()
            first.reports shouldBe 1
            first.hear()
            first.reports shouldBe 1
            first.watch.unknownToCoordinator(NOW) shouldBe setOf(LEAVING)
            first.report(coordinator) shouldBe (1 to null)
            coordinator.usable() shouldBe listOf("i-2")
            first.watch.unknownToCoordinator(NOW) shouldBe emptySet()
            second.report(coordinator) shouldBe (null to 1)
            second.usable() shouldBe listOf("i-2")
            for (vm in listOf(first, second)) vm.report(coordinator) shouldBe (null to null)
        }

        test("a new coordinator learns it from the first report") {
            val (coordinator, successor, vm) = List(3) { Vm() }
            vm.hear()
            vm.report(coordinator)
            vm.watch.onCoordinatorChanged()
            vm.watch.unknownToCoordinator(NOW) shouldBe setOf(LEAVING)
            vm.report(successor) shouldBe (1 to null)
            successor.usable() shouldBe listOf("i-2")
        }

        test("a late answer of a former start does not take the server out") {
            val vm = Vm()
            val former = vm.entry()
            vm.showRows(version = 2, born = 2)
            vm.hear(former)
            vm.usable() shouldBe listOf("i-1", "i-2")
            vm.reports shouldBe 0
        }

        test(
            "an answer of another server counts for that server, if it has the address, and says nothing of this one",
        ) {
            val vm = Vm()
            vm.hear(answer = LeavingAnswer(named = "unknown")) shouldBe null
            vm.usable() shouldBe listOf("i-1", "i-2")
            vm.hear(answer = LeavingAnswer(named = "i-2")) shouldBe null
            vm.usable() shouldBe listOf("i-1")
        }

        test("a run that is lost at a leaving server is no crash of its prompt parts") {
            for (isLeaving in listOf(true, false)) {
                val vm = Vm()
                val server = vm.entry()
                if (isLeaving) vm.hear(server)
                val parts = PromptPartWatch(vm.view) { true }
                parts.onLost(RunningCall(1, server.id, parts = listOf(PromptPart("p"))), server, NOW - 10.milliseconds)
                parts.suspects.suspectedCount shouldBe if (isLeaving) 0 else 1
            }
        }

        test("a message of an earlier build is understood") {
            val bytes = EarlierSnapshotRequest.serializer().toCbor(EarlierSnapshotRequest(1, 2, 3))
            val request = SnapshotRequest.serializer().parseCbor(bytes)
            request.leaving.facts shouldBe null
            Vm().watch.answer(request.leaving, NOW).facts shouldBe null
        }
    })
