package org.agatestream.core.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import org.agatestream.core.BackendServerId
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceId("chat")

private fun servers(vararg versions: String?): List<ServerEntry> =
    versions.mapIndexed { index, version ->
        ServerEntry(
            id = BackendServerId("s$index"),
            service = SERVICE,
            address = "10.0.0.1:80",
            failureDomain = FailureDomainId("d"),
            slots = 8,
            isDraining = false,
            coldTimeLeft = Duration.ZERO,
            startedAtMillis = index.toLong(),
            version = version,
        )
    }

private fun orderTo(version: String) = RolloutOrder(SERVICE, ServerVersion(version), 12.seconds)

private fun statusOf(
    outcome: RolloutOutcome,
    version: String,
) = RolloutStatus(outcome, ServerVersion(version))

/** Applies the servers and returns the versions that may get work without a coordinator. */
private fun VersionBook.admitted(vararg versions: String?): List<String?> {
    val all = servers(*versions)
    onServers(all)
    return all.filter { admits(it) }.map { it.version }.distinct()
}

class VersionBookTest :
    FunSpec({
        test("servers without versions are all served") {
            VersionBook().admitted(null, null) shouldContainExactly listOf(null)
            VersionBook().admitted("v1", null) shouldContainExactly listOf("v1", null)
        }

        // Guards against a new version that gets requests before a VM has read its order.
        test("a version that appears beside the one in use gets nothing until an order names it") {
            val book = VersionBook()
            book.admitted("v1", "v1") shouldContainExactly listOf("v1")
            book.admitted("v1", "v1", "v2", "v2", "v2") shouldContainExactly listOf("v1")
        }

        // Guards against an outage of deployments that replace their servers without orders.
        test("a service whose servers all changed their version is served") {
            val book = VersionBook()
            book.admitted("v1", "v1")
            book.admitted("v2", "v2") shouldContainExactly listOf("v2")
        }

        test("with an open order the version of most other servers is in use, and no third one") {
            val book = VersionBook()
            book.onOrders(listOf(orderTo("v2")))
            book.admitted("v2", "v2", "v2", "v1", "v1", "v3", null) shouldContainExactly listOf("v1")
        }

        test("an order that is read after the servers corrects a wrong guess") {
            val book = VersionBook()
            book.admitted("v2", "v2", "v2", "v1", "v1") shouldContainExactly listOf("v2")
            book.onOrders(listOf(orderTo("v2")))
            book.admitted("v2", "v2", "v2", "v1", "v1") shouldContainExactly listOf("v1")
        }

        test("the target is in use once its roll-out completed, and never once it was rolled back") {
            for ((outcome, inUse) in listOf(RolloutOutcome.COMPLETED to "v2", RolloutOutcome.ROLLED_BACK to "v1")) {
                val book = VersionBook()
                book.onOrders(listOf(orderTo("v2")))
                book.onStatus(SERVICE, statusOf(outcome, "v2"))
                book.admitted("v1", "v2", "v2") shouldContainExactly listOf(inUse)
                book.onStatus(SERVICE, statusOf(RolloutOutcome.RUNNING, "v2"))
                book.admitted("v1", "v2", "v2") shouldContainExactly listOf(inUse)
            }
        }

        test("the next order starts from the version that the last one completed") {
            val book = VersionBook()
            book.onStatus(SERVICE, statusOf(RolloutOutcome.COMPLETED, "v2"))
            book.onOrders(listOf(orderTo("v3")))
            book.admitted("v1", "v1", "v2", "v3", "v3", "v3") shouldContainExactly listOf("v2")
        }

        test("a withdrawn order leaves the version before it in use") {
            val book = VersionBook()
            book.onOrders(listOf(orderTo("v2")))
            book.admitted("v1", "v2", "v2")
            book.onOrders(emptyList())
            book.admitted("v1", "v2", "v2") shouldContainExactly listOf("v1")
        }
    })
