package org.agatestream.server

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.EngineOrderResult
import org.agatestream.core.EngineOrderState
import org.agatestream.core.EngineOrderStep
import org.agatestream.core.EngineOrderTimes
import org.agatestream.core.FencingNumber
import org.agatestream.core.FleetView
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ShareKey
import org.agatestream.core.after
import org.agatestream.core.next
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpRequestSpec
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The inputs of [EngineOrders]. */
internal class EngineOrderContext(
    /** Returns whether this VM may act as owner of a share at a given time; checked right before each order. */
    val mayOwn: (ShareKey, MonotonicTime) -> Boolean,
    val fleet: () -> FleetView,
    val fencingNumber: () -> FencingNumber,
    val times: EngineOrderTimes = EngineOrderTimes(),
    val random: Random = Random.Default,
    val clock: () -> MonotonicTime = MonotonicTime::now,
)

/** Orders the engines that this VM owns to load the models listed in the settings. */
internal class EngineOrders(
    private val client: HttpClient,
    private val context: EngineOrderContext,
) {
    private val states = ConcurrentHashMap<BackendServerId, EngineOrderState>()

    /** Sends orders periodically until cancelled. */
    suspend fun runForever() {
        while (true) {
            runOnce()
            delay(ORDER_INTERVAL)
        }
    }

    /** Sends each engine that this VM owns its pending orders. */
    suspend fun runOnce() {
        val engines = context.fleet().backendServers.filterValues { it.kind == BackendKind.ENGINE }
        states.keys.retainAll(engines.keys)
        coroutineScope {
            engines.map { (id, setting) -> async { sendPendingOrders(id, setting) } }.awaitAll()
        }
    }

    private suspend fun sendPendingOrders(
        id: BackendServerId,
        setting: BackendServerSetting,
    ) {
        while (true) {
            val now = context.clock()
            if (!isOwner(id, now)) {
                states.remove(id)
                return
            }
            val state = states.getOrDefault(id, EngineOrderState())
            val step = state.next(setting.models, context.fencingNumber(), context.times, now)
            if (step !is EngineOrderStep.Load) return
            val result = withTimeoutOrNull(ORDER_TIMEOUT) { send(setting.address, step) } ?: EngineOrderResult.FAILED
            val jitter = context.random.nextDouble()
            states[id] = state.after(step, result, context.times, jitter, context.clock())
            if (result != EngineOrderResult.DONE) {
                EventLog.warn("engine_order_failed", "server" to id, "model" to step.model, "result" to result)
            }
        }
    }

    private fun isOwner(
        id: BackendServerId,
        now: MonotonicTime,
    ): Boolean = context.mayOwn(ShareKey("orders/$id", share = 0, count = 1), now)

    private suspend fun send(
        address: String,
        step: EngineOrderStep.Load,
    ): EngineOrderResult {
        val order = LoadOrder(step.number.number, "load", step.model.value)
        val body = Json.encodeToString(LoadOrder.serializer(), order).encodeToByteArray()
        val headers = listOf("content-type" to "application/json")
        val result = client.exchange(HttpRequestSpec(address, "POST", "/orders", headers, body))
        if (result !is ExchangeResult.Answered) return EngineOrderResult.FAILED
        val response = result.response
        response.readCompletely(MAX_RESPONSE_BYTES) ?: return EngineOrderResult.FAILED
        return when (response.status) {
            STATUS_OK -> EngineOrderResult.DONE
            STATUS_CONFLICT -> EngineOrderResult.REFUSED_AS_OLD
            else -> EngineOrderResult.FAILED
        }
    }

    /** The body of an order to load a model. */
    @Serializable
    private data class LoadOrder(
        val fencing: Long,
        val order: String,
        val model: String,
    )

    private companion object {
        val ORDER_INTERVAL: Duration = 1.seconds
        val ORDER_TIMEOUT: Duration = 5.seconds
        const val MAX_RESPONSE_BYTES = 65_536
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 409
    }
}
