package org.agatestream.standin

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.agatestream.core.CommitResult
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Row
import org.agatestream.core.Transaction
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Faults injected into the platform stand-in. */
@Serializable
public data class Faults(
    /** Responds to every request with status 503. */
    val down: Boolean = false,
    /** Delay of each response in milliseconds, half of it before the call takes effect. */
    val delayMillis: Long = 0,
    /** Number of upcoming commits that take effect but get no response: their connection is closed. */
    val loseCommitAnswers: Int = 0,
    /** Number of upcoming reads that get no response: their connection is closed. */
    val loseReadAnswers: Int = 0,
    /** Lag of the VM list in milliseconds. */
    val lagMillis: Long = 0,
    /** VMs whose requests get status 503. */
    val refusedVms: List<String> = emptyList(),
)

/** Rate limits of the platform stand-in. */
internal data class PlatformRates(
    val readsPerSecond: Int = 2_000,
    val writesPerSecond: Int = 500,
    val weightsPerSecond: Int = 2,
)

/** An in-memory platform for tests: table service, object store, VM list and weight store. */
internal class PlatformStandIn(
    rates: PlatformRates = PlatformRates(),
) : AutoCloseable {
    private val server = StandInServer(::handle)
    private val table = StandInTable()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val vms = LaggedValue(emptyList<ListedVm>(), MonotonicTime.now())
    private val reads = RateLimit(rates.readsPerSecond, MonotonicTime.now())
    private val writes = RateLimit(rates.writesPerSecond, MonotonicTime.now())
    private val weights = RateLimit(rates.weightsPerSecond, MonotonicTime.now())
    private val lostCommits = AtomicInteger()
    private val lostReads = AtomicInteger()
    private val readCount = AtomicLong()
    private val writeCount = AtomicLong()
    private val refusedCount = AtomicLong()

    @Volatile
    private var faults = Faults()

    fun listen(port: Int): Int = server.listen(port)

    override fun close() {
        server.close()
    }

    private suspend fun handle(call: StandInCall) {
        if (call.path.startsWith("/standin/")) return control(call)
        val current = faults
        if (current.down || call.header(VM_HEADER) in current.refusedVms) return refuse(call, "the platform is down")
        delay((current.delayMillis / 2).milliseconds)
        serve(call)
    }

    private suspend fun control(call: StandInCall) {
        when (call.route) {
            "POST /standin/vms" -> {
                vms.set(call.parse(ListSerializer(ListedVm.serializer())), MonotonicTime.now())
                call.respondEmpty()
            }

            "POST /standin/faults" -> {
                val next = call.parse(Faults.serializer())
                lostCommits.set(next.loseCommitAnswers)
                lostReads.set(next.loseReadAnswers)
                faults = next
                call.respondEmpty()
            }

            "GET /standin/counts" -> {
                val counts = PlatformCounts(readCount.get(), writeCount.get(), refusedCount.get())
                call.respondJson(STATUS_OK, PlatformCounts.serializer(), counts)
            }

            else -> {
                call.respondError(STATUS_NOT_FOUND, "unknown", "no such call")
            }
        }
    }

    private suspend fun serve(call: StandInCall) {
        val path = call.path
        when {
            call.route == "POST /table/read" -> readRow(call)
            call.route == "POST /table/scan" -> scanRows(call)
            call.route == "POST /table/commit" -> commit(call)
            path.startsWith("/objects/") && call.httpCall.method == "PUT" -> putObject(call)
            path.startsWith("/objects/") && call.httpCall.method == "GET" -> getObject(call)
            call.route == "GET /vms" -> listVms(call)
            path.startsWith("/weights/") && call.httpCall.method == "GET" -> getWeights(call)
            else -> call.respondError(STATUS_NOT_FOUND, "unknown", "no such call")
        }
    }

    private suspend fun readRow(call: StandInCall) {
        if (!admitRead(call)) return
        val row = table.read(call.parse(ReadQuery.serializer()).key)
        completeRead()
        if (row == null) return call.respondError(STATUS_NOT_FOUND, "absent", "no such row")
        call.respondJson(STATUS_OK, Row.serializer(), row)
    }

    private suspend fun scanRows(call: StandInCall) {
        if (!admitRead(call)) return
        val query = call.parse(ScanQuery.serializer())
        val rows = table.scan(query.prefix, query.after, query.limit)
        completeRead()
        call.respondJson(STATUS_OK, ListSerializer(Row.serializer()), rows)
    }

    private suspend fun commit(call: StandInCall) {
        val transaction = call.parse(Transaction.serializer())
        if (!admitWrite(call)) return
        val result = table.commit(transaction)
        delay((faults.delayMillis / 2).milliseconds)
        if (lostCommits.decrementIfPositive()) call.dropConnection()
        when (result) {
            is CommitResult.Conflict -> {
                call.respondJson(STATUS_CONFLICT, ListSerializer(Row.serializer()), result.current)
            }

            else -> {
                call.respondJson(STATUS_OK, CommitAnswer.serializer(), CommitAnswer(true))
            }
        }
    }

    private suspend fun putObject(call: StandInCall) {
        if (!admitWrite(call)) return
        objects[call.path.removePrefix("/objects/")] = call.body
        delay((faults.delayMillis / 2).milliseconds)
        if (lostCommits.decrementIfPositive()) call.dropConnection()
        call.respondEmpty()
    }

    private suspend fun getObject(call: StandInCall) {
        if (!admitRead(call)) return
        val bytes = objects[call.path.removePrefix("/objects/")]
        completeRead()
        if (bytes == null) return call.respondError(STATUS_NOT_FOUND, "absent", "no such object")
        call.httpCall.respond(STATUS_OK, "application/octet-stream", bytes)
    }

    private suspend fun listVms(call: StandInCall) {
        if (!admitRead(call)) return
        val listed = vms.get(MonotonicTime.now(), faults.lagMillis.milliseconds)
        completeRead()
        call.respondJson(STATUS_OK, ListSerializer(ListedVm.serializer()), listed)
    }

    private suspend fun getWeights(call: StandInCall) {
        if (!weights.tryTake(MonotonicTime.now())) {
            return call.respondError(STATUS_TOO_MANY, "rate", "over the rate of the weight store")
        }
        val model = call.path.removePrefix("/weights/")
        call.respondJson(STATUS_OK, WeightsAnswer.serializer(), WeightsAnswer(model, "1"))
    }

    private suspend fun admitRead(call: StandInCall): Boolean {
        if (!reads.tryTake(MonotonicTime.now())) {
            refuse(call, "over the read rate")
            return false
        }
        readCount.incrementAndGet()
        return true
    }

    private suspend fun admitWrite(call: StandInCall): Boolean {
        if (!writes.tryTake(MonotonicTime.now())) {
            refuse(call, "over the write rate")
            return false
        }
        writeCount.incrementAndGet()
        return true
    }

    private suspend fun completeRead() {
        delay((faults.delayMillis / 2).milliseconds)
        if (lostReads.decrementIfPositive()) throw kotlinx.coroutines.CancellationException("the response is dropped")
    }

    private suspend fun refuse(
        call: StandInCall,
        message: String,
    ) {
        refusedCount.incrementAndGet()
        call.respondError(STATUS_UNAVAILABLE, "unavailable", message)
    }
}

/** Number of calls since the platform stand-in started. */
@Serializable
internal data class PlatformCounts(
    val reads: Long,
    val writes: Long,
    val refused: Long,
)

@Serializable
private data class ReadQuery(
    val key: String,
)

@Serializable
private data class ScanQuery(
    val prefix: String,
    val after: String = "",
    val limit: Int = 1_000,
)

@Serializable
private data class CommitAnswer(
    val committed: Boolean,
)

@Serializable
private data class WeightsAnswer(
    val model: String,
    val version: String,
)

/** Decrements a positive count; returns false if it is 0. */
internal fun AtomicInteger.decrementIfPositive(): Boolean = getAndUpdate { if (it > 0) it - 1 else 0 } > 0

private const val VM_HEADER = "x-agatestream-vm"
