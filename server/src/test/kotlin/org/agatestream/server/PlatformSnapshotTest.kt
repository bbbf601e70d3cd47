package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime.now()
private const val ROUTES = 1_400

// The slowest link of the deployments.
private const val LINK_BITS_PER_SECOND = 15.4e6

private val ROUTE_LIST =
    List(ROUTES) {
        """{"Name":"r-${it * 7_919}","Hostname":"h$it.example","Prefix":"/p${it * 31}/","Type":"stream","TimeoutMs":5000,
            "SloMs":304,"Priority":0,"Service":"s","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false}"""
    }

private fun manifest(
    version: Int,
    routes: List<String> = ROUTE_LIST,
): SnapshotRow =
    SnapshotRow("config", """{"Version":$version,"Routes":[${routes.joinToString(",")}]}""".encodeToByteArray())

private val SERVER =
    SnapshotRow(
        "i-1",
        """{"Service":"s","Address":"10.0.0.1:80","Zone":"d","Slots":4,"State":"ready"}""".encodeToByteArray(),
    )

private fun viewOf(snapshot: PlatformSnapshot): PlatformView =
    PlatformView(FakeRowStore()) {}.also { it.applySnapshot(snapshot, NOW) }

/** A VM with a large manifest as of version 9 and a server as of version 12. */
private fun largeView() = viewOf(PlatformSnapshot(9, listOf(manifest(5)), 12, listOf(SERVER)))

private fun sizeOf(snapshot: PlatformSnapshot): Int =
    PeerResponse.serializer().toCbor(SnapshotResponse(snapshot, emptyList(), coordinator = null)).size

class PlatformSnapshotTest :
    FunSpec({
        // Guards against VMs that never learn a large manifest while the store turns them away: the answer to each question
        // took longer than they waited, and the VMs that answered had no time left for anything else.
        test("a manifest of 1,400 routes reaches another VM over the slowest link well within the wait for a report") {
            val snapshot = largeView().snapshotSince(operators = 0, servers = 0).shouldNotBeNull()
            val transferTime = (sizeOf(snapshot) * 8 / LINK_BITS_PER_SECOND).seconds
            transferTime shouldBeLessThan 100.milliseconds
        }

        test("a VM that applies a snapshot knows the same as the one that sent it") {
            val snapshot = largeView().snapshotSince(operators = 0, servers = 0).shouldNotBeNull()
            val sent = PeerResponse.serializer().toCbor(SnapshotResponse(snapshot, emptyList(), coordinator = null))
            val received = PeerResponse.serializer().parseCbor(sent) as SnapshotResponse
            val view = viewOf(received.snapshot.shouldNotBeNull())
            view.manifest?.version shouldBe 5
            view.manifest?.routes?.size shouldBe ROUTES
            view.registry.usable().size shouldBe 1
            (view.operatorVersion to view.serverVersion) shouldBe (9L to 12L)
        }

        // Guards against a large manifest that is sent again with each change of a server.
        test("only the table that is newer is sent") {
            val view = largeView()
            val servers = view.snapshotSince(operators = 9, servers = 11).shouldNotBeNull()
            servers.operators.shouldBeNull()
            servers.servers?.version shouldBe 12
            view.snapshotSince(operators = 8, servers = 12)?.servers.shouldBeNull()
            view.snapshotSince(operators = 9, servers = 12).shouldBeNull()
        }

        test("a later version of the manifest replaces the packed one, and an older snapshot changes nothing") {
            val view = largeView()
            val old = view.snapshotSince(operators = 0, servers = 0).shouldNotBeNull()
            view.applySnapshot(PlatformSnapshot(20, listOf(manifest(7)), 0, emptyList()), NOW)
            viewOf(view.snapshotSince(operators = 9, servers = 12).shouldNotBeNull()).manifest?.version shouldBe 7
            view.applySnapshot(old, NOW)
            view.manifest?.version shouldBe 7
        }

        test("a snapshot that can't be unpacked changes nothing") {
            val view = largeView()
            view.applySnapshot(PlatformSnapshot.of(PackedRows(30, ByteArray(5)), servers = null), NOW)
            (view.manifest?.version to view.operatorVersion) shouldBe (5L to 9L)
        }
    })
