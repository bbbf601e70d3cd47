package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServiceId
import org.agatestream.core.rollout.RolloutOutcome
import org.agatestream.core.rollout.ServerVersion

private const val ORDER = """{"Service":"s","To":"v2","DurationS":12}"""

private class View {
    val view = PlatformView(FakeRowStore()) {}
    private var version = 0L

    fun apply(vararg rows: Pair<String, String>) {
        version++
        val operatorRows = rows.map { (key, value) -> SnapshotRow(key, value.encodeToByteArray()) }
        view.applySnapshot(PlatformSnapshot(version, operatorRows, version, SERVERS), MonotonicTime.now())
    }

    /** Returns the ids of the servers that may get work without a coordinator. */
    fun admitted(): List<String> =
        view.registry
            .all()
            .filter { view.versions.admits(it) }
            .map { it.id.value }

    private companion object {
        fun entry(version: String) =
            """{"Service":"s","Address":"127.0.0.1:1","Zone":"d","Slots":8,"State":"ready","Version":"$version"}"""
                .encodeToByteArray()

        val SERVERS =
            listOf(SnapshotRow("a", entry("v1")), SnapshotRow("b", entry("v1")), SnapshotRow("c", entry("v2")))
    }
}

class RolloutViewTest :
    FunSpec({
        test("a VM without a coordinator follows the status of the order") {
            for ((outcome, servers) in mapOf(
                RolloutOutcome.RUNNING to listOf("a", "b"),
                RolloutOutcome.ROLLED_BACK to listOf("a", "b"),
                RolloutOutcome.COMPLETED to listOf("c"),
            )) {
                val view = View()
                view.apply("rollout/s" to ORDER)
                view.view.applyRollouts(listOf(RolloutNotice(ServiceId("s"), ServerVersion("v2"), outcome)))
                view.admitted() shouldContainExactly servers
            }
        }

        // Guards against an operator's slip that ends a roll-out under way, or starts one.
        test("an unreadable order changes nothing, and its removal withdraws the order") {
            val view = View()
            view.apply("rollout/s" to "{")
            view.view.versions.openOrders
                .shouldBeEmpty()
            view.apply("rollout/s" to ORDER)
            view.apply("rollout/s" to "{}")
            view.view.versions.openOrders
                .map { it.target.value } shouldContainExactly listOf("v2")
            view.apply()
            view.view.versions.openOrders
                .shouldBeEmpty()
            view.admitted() shouldContainExactly listOf("a", "b")
        }
    })
