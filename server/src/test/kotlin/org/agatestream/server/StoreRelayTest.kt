package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowPage
import org.agatestream.core.StoreRead
import org.agatestream.core.VmId
import org.agatestream.core.WriteResult
import kotlin.time.Duration

private val SELF = VmId("self")
private val HELPER = VmId("helper")
private val ROW = RowName("t", "", "k")

private class RelayNetwork(
    private val helper: StoreRelay?,
) : PeerNetwork {
    override val self: VmId = SELF

    override suspend fun ask(
        peer: VmId,
        ask: PeerAsk,
        timeout: Duration,
    ): PeerAnswer? = helper?.answer(ask as StoreAsk)
}

private fun relayThrough(helper: StoreRelay?): StoreRelay =
    StoreRelay(FakeRowStore().also { it.isDown = true }, RelayNetwork(helper), { false }, { listOf(HELPER) })

private fun helperOf(
    store: FakeRowStore,
    hasStore: Boolean = true,
): StoreRelay = StoreRelay(store, RelayNetwork(null), { hasStore }, { emptyList() })

class StoreRelayTest :
    FunSpec({
        test("a VM that the store turns away reads and writes through another") {
            val store = FakeRowStore()
            val relay = relayThrough(helperOf(store))
            relay.write(mapOf(ROW to 0L), listOf(RowChange(ROW, byteArrayOf(1)))) shouldBe WriteResult.Written
            val page = relay.rows("t", "", null, null, null).shouldBeInstanceOf<StoreRead.Found<RowPage>>().value
            page.rows.single().name shouldBe ROW
            relay.putObject("o", byteArrayOf(2)) shouldBe WriteResult.Written
            relay.getObject("o").shouldBeInstanceOf<StoreRead.Found<ByteArray>>()
        }

        test("a write is sure not to be done if the other VM has no store either") {
            val relay = relayThrough(helperOf(FakeRowStore(), hasStore = false))
            relay.write(emptyMap(), listOf(RowChange(ROW, null))).shouldBeInstanceOf<WriteResult.NotDone>()
        }

        test("a write that another VM did not answer may have been done") {
            relayThrough(null).write(emptyMap(), listOf(RowChange(ROW, null))).shouldBeInstanceOf<WriteResult.Unknown>()
        }
    })
