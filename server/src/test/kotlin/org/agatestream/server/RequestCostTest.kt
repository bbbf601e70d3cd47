package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.util.internal.PlatformDependent
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.agatestream.http.BodyPart
import org.agatestream.http.EventLoops
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpAnswer
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpLimits
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.HttpServer
import org.agatestream.http.readBody
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Measures what the request path adds to a direct call of the same engine; run with `-Dmeasure.requests=<count>`. */
class RequestCostTest :
    FunSpec({
        val count = System.getProperty("measure.requests")?.toInt() ?: 0

        test("the cost of the request path").config(enabled = count > 0) {
            CostBench().use { bench ->
                repeat(2) { bench.compare(64, count / 4, stream = false) }
                bench.compare(64, count / 4, stream = true)
                println("measured  mode   concurrency  direct p50/p99 us  through p50/p99 us  cpu us/request")
                for (stream in listOf(false, true)) {
                    for (concurrency in listOf(
                        1,
                        16,
                        64,
                        256,
                    )) {
                        bench.compare(concurrency, count, stream).forEach(::println)
                    }
                }
                for (held in listOf(250, 500, 1_000, 2_000)) println(bench.memory(held))
            }
        }
    })

private const val TOKENS = 32

/** An engine that answers at once, and an entry VM on threads of its own before it. */
private class CostBench : AutoCloseable {
    private val fixture = OnlineFixture()
    private val holding = AtomicInteger()
    private val loops = EventLoops(2)
    private val scope = CoroutineScope(Dispatchers.Default + Job())
    private val engine = HttpServer.start(loops, ANY_PORT, HttpLimits(), scope, ::answer)
    private val address = "127.0.0.1:${engine.port}"
    private val client = HttpClient(loops, maxIdlePerAddress = 4_096)
    private val vmThreads: Set<Long>
    private val vmAddress: String

    init {
        val before = threadIds()
        val vmLoops = EventLoops(2)
        val workers = Executors.newFixedThreadPool(2).asCoroutineDispatcher()
        val vmScope = CoroutineScope(workers + Job())
        val fleet = fixture.coordination.fleet
        val servers = fleet.backendServers.mapValues { it.value.copy(address = address) }
        fixture.coordination.change(fleet.copy(backendServers = servers))
        val vmClient = HttpClient(vmLoops, maxIdlePerAddress = 4_096)
        val online =
            with(fixture) {
                OnlineRoutes(coordination, limits, slots, vmClient, hasher, vm.once, vm.leavingVms, 10, vmScope)
            }
        val router = Router(listOf(online), fixture.vm.shutdown)
        vmAddress = "127.0.0.1:${HttpServer.start(vmLoops, ANY_PORT, HttpLimits(), vmScope, router::handle).port}"
        // The threads start with their first work.
        kotlinx.coroutines.runBlocking { repeat(200) { call(vmAddress, body(false)) } }
        vmThreads = threadIds() - before
    }

    /** Runs the same requests directly and through the VM, in turns, and returns a line of the result. */
    suspend fun compare(
        concurrency: Int,
        count: Int,
        stream: Boolean,
    ): List<String> {
        val direct = ConcurrentHistogram(3)
        val through = ConcurrentHistogram(3)
        var cpu = 0L
        repeat(TURNS) {
            run(address, concurrency, count / TURNS, stream, direct)
            val before = cpuNanos()
            run(vmAddress, concurrency, count / TURNS, stream, through)
            cpu += cpuNanos() - before
        }
        val mode = if (stream) "stream" else "whole "
        val micros = cpu / 1_000.0 / through.totalCount
        return listOf("measured  $mode %6d  %s  %s  %.0f".format(concurrency, direct.text(), through.text(), micros))
    }

    /** Returns the memory that a held stream takes in the VM: through it, less the same number held directly. */
    suspend fun memory(held: Int): String {
        val direct = heldBytes(address, held)
        val through = heldBytes(vmAddress, held)
        return "measured  held streams $held  direct %.1f KB each  through %.1f KB each  VM %.1f KB each"
            .format(direct / 1024.0 / held, through / 1024.0 / held, (through - direct) / 1024.0 / held)
    }

    private suspend fun heldBytes(
        target: String,
        held: Int,
    ): Long {
        val before = usedBytes()
        val start = holding.get()
        val answers =
            List(held) {
                open(target, body(stream = true, model = HELD)).also { answer ->
                    answer.nextChunk()
                }
            }
        holding.get() - start shouldBe held
        val used = usedBytes() - before
        answers.forEach { it.close() }
        while (holding.get() > start) Thread.sleep(10)
        return used
    }

    private suspend fun run(
        target: String,
        concurrency: Int,
        count: Int,
        stream: Boolean,
        into: ConcurrentHistogram,
    ) = coroutineScope {
        val text = body(stream)
        repeat(concurrency) {
            launch(Dispatchers.Default) {
                repeat(maxOf(1, count / concurrency)) {
                    val at = System.nanoTime()
                    call(target, text)
                    into.recordValue((System.nanoTime() - at) / 1_000)
                }
            }
        }
    }

    private suspend fun call(
        target: String,
        body: String,
    ) {
        val answer = open(target, body)
        while (true) if (answer.nextChunk() !is BodyPart.Chunk) break
    }

    private suspend fun open(
        target: String,
        body: String,
    ): HttpAnswer {
        val headers = listOf("authorization" to "Bearer $KEY", "content-type" to "application/json")
        val spec = HttpRequestSpec(target, "POST", "/v1/completions", headers, body.encodeToByteArray())
        return (client.exchange(spec) as ExchangeResult.Answered).answer
    }

    private suspend fun answer(call: HttpCall) {
        val body = (call.readBody(100_000) as org.agatestream.core.Outcome.Ok).value.decodeToString()
        if (!body.contains("\"stream\":true")) return call.respond(200, "application/json", WHOLE)
        val writer = call.startStream(200, "text/event-stream")
        if (HELD in body) {
            writer.write(EVENT)
            holding.incrementAndGet()
            call.callerGone.join()
            holding.decrementAndGet()
            return writer.abort()
        }
        repeat(TOKENS) { writer.write(EVENT) }
        writer.write("data: [DONE]\n\n".encodeToByteArray())
        writer.finish()
    }

    private fun body(
        stream: Boolean,
        model: String = "prompt",
    ) = """{"model":"m","prompt":"$model ${"word ".repeat(40)}","max_tokens":32,"stream":$stream}"""

    private fun threadIds(): Set<Long> = ManagementFactory.getThreadMXBean().allThreadIds.toSet()

    private fun cpuNanos(): Long =
        vmThreads.sumOf { ManagementFactory.getThreadMXBean().getThreadCpuTime(it).coerceAtLeast(0) }

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used + PlatformDependent.usedDirectMemory()
    }

    override fun close() {
        engine.closeNow()
        fixture.close()
        loops.close()
    }

    private companion object {
        const val TURNS = 5
        const val HELD = "held"
        val ANY_PORT = InetSocketAddress("127.0.0.1", 0)
        val EVENT =
            """data: {"id":"c","object":"text_completion","choices":[{"index":0,"text":"tok ","finish_reason":null}]}"""
                .plus("\n\n")
                .encodeToByteArray()
        val WHOLE =
            """{"id":"c","object":"text_completion","choices":[{"index":0,"text":"t","finish_reason":"stop"}]}"""
                .encodeToByteArray()
    }
}

private fun Histogram.text() = "%6d/%6d".format(getValueAtPercentile(50.0), getValueAtPercentile(99.0))
