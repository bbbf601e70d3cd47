package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowPage
import org.agatestream.core.StoreRead
import org.agatestream.core.VmId
import org.agatestream.core.WriteResult
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SELF = VmId("self")
private val RELAY = VmId("helper")
private val ROW = RowName("t", "", "k")

// On its way for 2 s, twice as long as a call to a relay may take.
private val OBJECT = Random(1).nextBytes(1_000_000)
private const val SLOW_LINK_BYTES_PER_MILLI = 500

/** A network to [remote] whose link carries [bytesPerMilli], and which fails each call numbered in [lost]. */
private class RelayNetwork(
    private val remote: StoreRelay?,
    private val bytesPerMilli: Int = Int.MAX_VALUE,
    private val lost: Set<Int> = emptySet(),
) : PeerNetwork {
    override val self: VmId = SELF
    private var calls = 0

    override suspend fun call(
        peer: VmId,
        request: PeerRequest,
        timeout: Duration,
    ): PeerResponse? {
        if (calls++ in lost) return null
        return withTimeoutOrNull(timeout) {
            val response = remote?.answer(request as StoreRequest)
            val bytes = (response as? RelayedRead)?.bytes?.size ?: 0
            delay((bytes / bytesPerMilli).milliseconds)
            response
        }
    }
}

private fun relayThrough(
    remote: StoreRelay?,
    network: PeerNetwork = RelayNetwork(remote),
    relays: List<VmId> = listOf(RELAY),
): StoreRelay = StoreRelay(FakeRowStore().also { it.isDown = true }, network, { false }, { relays }, UNCONFINED)

private fun relayOf(
    store: FakeRowStore,
    isStoreReachable: Boolean = true,
): StoreRelay = StoreRelay(store, RelayNetwork(null), { isStoreReachable }, { emptyList() }, UNCONFINED)

class StoreRelayTest :
    FunSpec({
        test("a VM that cannot reach the store reads and writes through another VM") {
            val store = FakeRowStore()
            val relay = relayThrough(relayOf(store))
            relay.write(mapOf(ROW to 0L), listOf(RowChange(ROW, byteArrayOf(1)))) shouldBe WriteResult.Written
            val page = relay.rows("t", "", null, null, null).shouldBeInstanceOf<StoreRead.Found<RowPage>>().value
            page.rows.single().name shouldBe ROW
            relay.putObject("o", byteArrayOf(2)) shouldBe WriteResult.Written
            relay.getObject("o").shouldBeInstanceOf<StoreRead.Found<ByteArray>>()
        }

        // Guards against items that never run at a VM without the store, as each object is cut on its way from another.
        test("a large object is read through another VM, however long its bytes take") {
            val store = FakeRowStore()
            store.putObject("o", OBJECT)
            val relay = relayThrough(null, RelayNetwork(relayOf(store), SLOW_LINK_BYTES_PER_MILLI))
            relay.getObject("o").shouldBeInstanceOf<StoreRead.Found<ByteArray>>().value shouldBe OBJECT
            store.objectReads shouldHaveSize 1
        }

        test("an object is read through another VM that itself needs long to read it") {
            val store = FakeRowStore()
            store.putObject("o", OBJECT)
            store.objectsArrive = CompletableDeferred()
            val read = async { relayThrough(relayOf(store)).getObject("o") }
            delay(2.seconds)
            store.objectsArrive?.complete(Unit)
            read.await().shouldBeInstanceOf<StoreRead.Found<ByteArray>>().value shouldBe OBJECT
            store.objectReads shouldHaveSize 1
        }

        test("an object whose relay fails halfway comes from the next one, from there on") {
            val store = FakeRowStore()
            store.putObject("o", OBJECT)
            val network = RelayNetwork(relayOf(store), lost = setOf(3))
            val relay = relayThrough(null, network, relays = listOf(RELAY, VmId("other")))
            relay.getObject("o").shouldBeInstanceOf<StoreRead.Found<ByteArray>>().value shouldBe OBJECT
        }

        test("a missing object is missing through another VM, too, and a small one comes whole") {
            val store = FakeRowStore()
            store.putObject("empty", ByteArray(0))
            val relay = relayThrough(relayOf(store))
            relay.getObject("o") shouldBe StoreRead.Gone
            relay.getObject("empty").shouldBeInstanceOf<StoreRead.Found<ByteArray>>().value shouldBe ByteArray(0)
        }

        // Guards against a heap that is full of objects of which other VMs fetch one piece after the other.
        test("a relay holds few objects at once, and the others wait") {
            val store = FakeRowStore()
            repeat(6) { store.putObject("o$it", OBJECT) }
            val objects = RelayedObjects(store, UNCONFINED)
            val now = MonotonicTime.now()
            val pieces = List(6) { objects.piece("o$it", 0, now).shouldBeInstanceOf<RelayedRead>() }
            pieces.map { it.isPending } shouldBe listOf(false, false, true, true, true, true)
            val later = now + 10.seconds
            objects.piece("o5", 0, later).shouldBeInstanceOf<RelayedRead>().total shouldBe OBJECT.size
        }

        test("an object is read whole through a VM of an earlier build") {
            val network =
                object : PeerNetwork {
                    override val self = SELF

                    override suspend fun call(
                        peer: VmId,
                        request: PeerRequest,
                        timeout: Duration,
                    ) = RelayedRead(bytes = OBJECT)
                }
            val read = relayThrough(null, network).getObject("o")
            read.shouldBeInstanceOf<StoreRead.Found<ByteArray>>().value shouldBe OBJECT
        }

        test("a write is reported as not done if the relay cannot reach the store either") {
            val relay = relayThrough(relayOf(FakeRowStore(), isStoreReachable = false))
            relay.write(emptyMap(), listOf(RowChange(ROW, null))).shouldBeInstanceOf<WriteResult.NotDone>()
        }

        test("the outcome of a write is unknown if the relay did not answer") {
            relayThrough(null).write(emptyMap(), listOf(RowChange(ROW, null))).shouldBeInstanceOf<WriteResult.Unknown>()
        }
    })
