package org.agatestream.standin

import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.round
import kotlin.time.Duration.Companion.milliseconds

/** Changes the behavior of the service stand-in; omitted fields keep their value. */
@Serializable
public data class ServiceControl(
    /** Delay between a run and its response, in milliseconds. */
    val delayMillis: Long? = null,
    /** Number of upcoming calls that fail with status 500 without being run. */
    val failNext: Int? = null,
    /** Number of upcoming calls that run but get no response: their connection is closed. */
    val dropAnswers: Int? = null,
)

/** A plain test service with idempotent spoke length calculations and non-idempotent bookings. */
internal class ServiceStandIn : AutoCloseable {
    private val server = StandInServer(::handle)
    private val runs = ConcurrentHashMap<String, Int>()
    private val bookings = AtomicInteger()
    private val failures = AtomicInteger()
    private val drops = AtomicInteger()

    @Volatile
    private var delayMillis = 0L

    fun listen(port: Int): Int = server.listen(port)

    override fun close() {
        server.close()
    }

    private suspend fun handle(call: StandInCall) {
        when (call.route) {
            "POST /length" -> length(call)
            "POST /bookings" -> book(call)
            "POST /standin/service" -> control(call)
            "GET /standin/runs" -> call.respondJson(STATUS_OK, runsSerializer, runs.toSortedMap())
            else -> call.respondError(STATUS_NOT_FOUND, "unknown", "no such call")
        }
    }

    private suspend fun length(call: StandInCall) {
        val wheel = call.parse(Wheel.serializer())
        if (failures.decrementIfPositive()) return call.respondError(STATUS_FAILED, "failed", "told to fail")
        completeRun(call)
        val validationError = wheel.validationError()
        if (validationError != null) return call.respondError(STATUS_UNPROCESSABLE, "impossible", validationError)
        val rounded = round(wheel.spokeLength() * STEPS_PER_MILLIMETER) / STEPS_PER_MILLIMETER
        call.respondJson(STATUS_OK, LengthAnswer.serializer(), LengthAnswer(rounded))
    }

    private suspend fun book(call: StandInCall) {
        if (failures.decrementIfPositive()) return call.respondError(STATUS_FAILED, "failed", "told to fail")
        val key = call.header("idempotency-key") ?: ""
        val run = runs.merge(key, 1, Int::plus) ?: 1
        val booking = "b${bookings.incrementAndGet()}"
        completeRun(call)
        call.respondJson(STATUS_CREATED, BookingAnswer.serializer(), BookingAnswer(booking, run))
    }

    private suspend fun completeRun(call: StandInCall) {
        delay(delayMillis.milliseconds)
        if (drops.decrementIfPositive()) call.dropConnection()
    }

    private suspend fun control(call: StandInCall) {
        val change = call.parse(ServiceControl.serializer())
        change.delayMillis?.let { delayMillis = it }
        change.failNext?.let { failures.set(it) }
        change.dropAnswers?.let { drops.set(it) }
        call.respondEmpty()
    }

    private companion object {
        const val STATUS_FAILED = 500

        /** Lengths are rounded to hundredths of a millimeter. */
        const val STEPS_PER_MILLIMETER = 100.0
        val runsSerializer = MapSerializer(String.serializer(), Int.serializer())
    }
}

@Serializable
private data class LengthAnswer(
    @SerialName("length_mm") val length: Double,
)

@Serializable
private data class BookingAnswer(
    val booking: String,
    val run: Int,
)
