package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.agatestream.core.BackendServerId
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowChange
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServiceId
import org.agatestream.core.rollout.RolloutOrder
import org.agatestream.core.rollout.RolloutRecord
import org.agatestream.core.rollout.RolloutSituation
import org.agatestream.core.rollout.RolloutStage
import org.agatestream.core.rollout.Rollouts
import org.agatestream.core.rollout.ServerVersion
import org.agatestream.core.rollout.VersionBook
import org.agatestream.platform.RolloutStatusRows
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceId("s")
private val OLD = entryOf("i-1", "v1")
private val NEW = entryOf("i-2", "v2")

private fun entryOf(
    id: String,
    version: String,
): ServerEntry =
    ServerEntry(
        id = BackendServerId(id),
        service = SERVICE,
        address = "127.0.0.1:1",
        failureDomain = FailureDomainId("d"),
        slots = 8,
        isDraining = false,
        coldTimeLeft = Duration.ZERO,
        startedAtMillis = 0,
        version = version,
    )

/** One coordinator with two servers, named by the store's row of [term]. */
private class Coordinator(
    private val store: FakeRowStore,
    name: String,
    term: Long,
    scope: CoroutineScope,
) {
    val book = VersionBook().also { it.onServers(listOf(OLD, NEW)) }
    val rollouts = Rollouts(book, name).also { it.onServers(listOf(OLD, NEW)) }
    val situation = RolloutSituation(oldRuns = 0, demand = 0, isComplete = true)
    val control = RolloutControl(rollouts, book, RolloutRows(store), CoordinatorTerm(term), { situation }, {}, scope)

    fun order(vararg orders: RolloutOrder) {
        book.onOrders(orders.toList())
        control.onViewChanged(MonotonicTime.now())
    }

    fun mayUse(server: ServerEntry): Boolean = rollouts.rank(server, MonotonicTime.now()) != null
}

private fun orderOf(duration: Duration = 60.seconds) = RolloutOrder(SERVICE, ServerVersion("v2"), duration)

private fun FakeRowStore.status(): String? = rows[RolloutStatusRows.of(SERVICE)]?.value?.decodeToString()

private fun FakeRowStore.record(): RolloutRecord? =
    rows[FleetTables.rollout(SERVICE)]?.value?.let { FleetTables.decode(RolloutRecord.serializer(), it) }

private fun FakeRowStore.nameCoordinator() =
    runBlocking { write(emptyMap(), listOf(RowChange(FleetTables.coordinator, "{}".encodeToByteArray()))) }

private fun withScope(block: suspend (CoroutineScope) -> Unit) =
    runBlocking {
        val job = Job()
        try {
            block(CoroutineScope(coroutineContext + job))
        } finally {
            job.cancelAndJoin()
        }
    }

class RolloutControlTest :
    FunSpec({
        test("the target gets nothing before the store has the start") {
            withScope { scope ->
                val store = FakeRowStore().apply { nameCoordinator() }
                store.isDown = true
                val coordinator = Coordinator(store, "a", 1, scope)
                coordinator.order(orderOf())
                delay(400.milliseconds)
                coordinator.mayUse(NEW) shouldBe false
                coordinator.mayUse(OLD) shouldBe true
                store.isDown = false
                eventually(3.seconds) { coordinator.mayUse(NEW) shouldBe true }
                store.status() shouldBe """{"State":"running","To":"v2"}"""
                store.record().shouldNotBeNull().exposed shouldBe 16
            }
        }

        test("a good roll-out is completed, and the target is in use") {
            withScope { scope ->
                val store = FakeRowStore().apply { nameCoordinator() }
                val coordinator = Coordinator(store, "a", 1, scope)
                coordinator.order(orderOf(800.milliseconds))
                eventually(3.seconds) { store.status() shouldBe """{"State":"completed","To":"v2"}""" }
                eventually(1.seconds) { coordinator.rollouts.all.shouldBeEmpty() }
                coordinator.mayUse(OLD) shouldBe false
                coordinator.mayUse(NEW) shouldBe true
            }
        }

        // Guards against a write that took effect unnoticed, after which every later one would conflict.
        test("a write whose answer was lost is read back") {
            withScope { scope ->
                val store = FakeRowStore().apply { nameCoordinator() }
                repeat(4) { store.faults += StoreFault.ANSWER_LOST }
                val coordinator = Coordinator(store, "a", 1, scope)
                coordinator.order(orderOf(1.seconds))
                eventually(3.seconds) { store.status() shouldBe """{"State":"completed","To":"v2"}""" }
            }
        }

        test("a withdrawn order takes effect at once without the store, and the status follows") {
            withScope { scope ->
                val store = FakeRowStore().apply { nameCoordinator() }
                val coordinator = Coordinator(store, "a", 1, scope)
                coordinator.order(orderOf())
                eventually(3.seconds) { coordinator.mayUse(NEW) shouldBe true }
                store.isDown = true
                coordinator.order()
                coordinator.mayUse(NEW) shouldBe false
                store.isDown = false
                eventually(3.seconds) { store.status() shouldBe """{"State":"rolled_back","To":"v2"}""" }
            }
        }

        // Guards against a target that gets its whole budget again from each coordinator.
        test("a new coordinator continues with what the target may have had") {
            withScope { scope ->
                val store = FakeRowStore().apply { nameCoordinator() }
                val first = Coordinator(store, "a", 1, scope)
                first.order(orderOf())
                eventually(3.seconds) { first.mayUse(NEW) shouldBe true }
                first.control.stop()
                first.mayUse(NEW) shouldBe false
                store.nameCoordinator()
                val second = Coordinator(store, "b", store.rows.getValue(FleetTables.coordinator).version, scope)
                second.order(orderOf())
                eventually(3.seconds) { second.rollouts.all[SERVICE].shouldNotBeNull() }
                val rollout = second.rollouts.all.getValue(SERVICE)
                rollout.exposed shouldBe store.record()!!.exposed
                rollout.stage shouldBe RolloutStage.CANARY
                second.mayUse(NEW) shouldBe false
            }
        }

        // Guards against two coordinators that both spend the budget, or an old one that overwrites a verdict.
        test("a replaced coordinator changes nothing in the store and sends nothing to the target") {
            withScope { scope ->
                val store = FakeRowStore().apply { nameCoordinator() }
                val old = Coordinator(store, "a", 1, scope)
                old.order(orderOf(2.seconds))
                eventually(3.seconds) { old.mayUse(NEW) shouldBe true }
                store.nameCoordinator()
                delay(2.seconds)
                old.mayUse(NEW) shouldBe false
                store.status() shouldBe """{"State":"running","To":"v2"}"""
            }
        }

        test("an order that was over before this process started stays over") {
            for ((state, isNewUsed) in listOf("completed" to true, "rolled_back" to false)) {
                withScope { scope ->
                    val store = FakeRowStore().apply { nameCoordinator() }
                    val value = """{"State":"$state","To":"v2"}""".encodeToByteArray()
                    store.write(emptyMap(), listOf(RowChange(RolloutStatusRows.of(SERVICE), value)))
                    val coordinator = Coordinator(store, "a", 1, scope)
                    coordinator.order(orderOf())
                    eventually(3.seconds) { coordinator.book.knownStatuses.size shouldBe 1 }
                    delay(300.milliseconds)
                    coordinator.rollouts.all.shouldBeEmpty()
                    coordinator.mayUse(NEW) shouldBe isNewUsed
                    coordinator.mayUse(OLD) shouldBe !isNewUsed
                    store.record().shouldBeNull()
                }
            }
        }

        test("a new order replaces the one under way") {
            withScope { scope ->
                val store = FakeRowStore().apply { nameCoordinator() }
                val coordinator = Coordinator(store, "a", 1, scope)
                coordinator.order(orderOf())
                eventually(3.seconds) { coordinator.mayUse(NEW) shouldBe true }
                coordinator.order(RolloutOrder(SERVICE, ServerVersion("v3"), 60.seconds))
                coordinator.mayUse(NEW) shouldBe false
                coordinator.mayUse(OLD) shouldBe true
                eventually(3.seconds) { store.status() shouldBe """{"State":"running","To":"v3"}""" }
                coordinator.rollouts.all
                    .getValue(SERVICE)
                    .base shouldBe ServerVersion("v1")
            }
        }
    })
