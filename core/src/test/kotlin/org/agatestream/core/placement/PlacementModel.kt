package org.agatestream.core.placement

import org.agatestream.core.BackendServerId
import org.agatestream.core.CHAT
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.EventQueue
import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.PromptPart
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.START
import org.agatestream.core.ServerEntry
import org.agatestream.core.UsableServer
import org.agatestream.core.VmId
import org.agatestream.core.manifestOf
import org.agatestream.core.nextGap
import kotlin.math.PI
import kotlin.math.cos
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What simulated servers report about the duration of work. */
internal enum class FigureKind { FRESH, STALE, MISSING, FALSE }

/** What the dispatcher is told about requests and servers; [NOTHING] gives the choice of earlier versions. */
internal enum class Knowledge { NOTHING, ALL }

/** A load pattern of [PlacementModel]. */
internal class PlacementLoad(
    /** The speed of the servers of each failure domain; servers take their domain in turn. */
    val domainSpeeds: List<Double> = listOf(0.55, 1.2, 1.2, 1.2),
    val servers: Int = 40,
    val slots: Int = 8,
    /** The share of requests that originates in each domain; equal if empty. */
    val demand: List<Double> = emptyList(),
    val requestsPerSecond: Double = 170.0,
    /** The fraction of servers that are slowed down at any time. */
    val noisyFraction: Double = 0.0,
    /** Additional slowness of the server with an index, at a time. */
    val slowness: (Int, Duration) -> Double = { _, _ -> 1.0 },
    val figures: FigureKind = FigureKind.FRESH,
    val knowledge: Knowledge = Knowledge.ALL,
    /** True if servers in the domain with an index may get work at a time. */
    val isDomainUsable: (Int, Duration) -> Boolean = { _, _ -> true },
    /** False if the dispatcher does not know where requests come from. */
    val isOriginKnown: Boolean = true,
    val length: Duration = 20.seconds,
)

/**
 * Simulates servers with continuous batching and prompt caches under the placement of a [Dispatcher].
 *
 * A step of a server takes longer the more requests run there; a prompt is read before the first step.
 */
internal class PlacementModel(
    private val load: PlacementLoad,
    seed: Int,
) {
    private val queue = EventQueue()

    // Separate sources, so that loads with the same seed have the same arrivals whatever the dispatcher does.
    private val random = Random(seed)
    private val faults = Random(seed + 2)
    private val dispatcher = Dispatcher(nextNumber = 1_000_000, random = Random(seed + 1))
    private val servers = (0 until load.servers).map { Server(it) }
    private val pending = HashMap<CallId, Request>()
    private var nextNumber = 1L
    private val now: MonotonicTime get() = START + queue.time

    var arrived = 0
        private set
    var onTime = 0
        private set
    var refused = 0
        private set
    private var sharedTokens = 0L
    private var sharedTokensRead = 0L
    private val leftByDomain = IntArray(load.domainSpeeds.size)
    private val placedByDomain = IntArray(load.domainSpeeds.size)

    /** The times at which requests began or ceased to leave a domain. */
    val changes = ArrayList<Pair<Duration, DomainChange>>()
    val flows = HashMap<DomainFlow, Int>()
    private var placed = 0

    /** The runs started at each server in each second. */
    val startsBySecond: List<IntArray> = servers.map { IntArray(load.length.inWholeSeconds.toInt() + 10) }

    val onTimeFraction: Double get() = onTime.toDouble() / arrived

    /** The load of the busiest server relative to the mean, as the mean number of runs at a server over time. */
    val busiestToMean: Double get() = servers.maxOf { it.busyMillis } / servers.sumOf { it.busyMillis } * servers.size
    val mostStarts: Double get() = startsBySecond.maxOf { it.sum() }.toDouble() / placed * servers.size
    val readAgainFraction: Double get() = sharedTokensRead.toDouble() / sharedTokens
    val leftFraction: Double get() = leftByDomain.sum().toDouble() / placed

    fun leftFraction(domain: Int): Double = leftByDomain[domain].toDouble() / placedByDomain[domain]

    private inner class Server(
        val index: Int,
    ) {
        val domain = index % load.domainSpeeds.size
        val id = BackendServerId("s$index")
        val cache = PromptCache(SERVER_CACHE_TOKENS)
        var running = 0
        var busyMillis = 0.0

        fun factor(): Double {
            val interval = queue.time.inWholeMilliseconds / NOISE_MILLIS
            val noise = Random(interval * 1_000 + index).nextDouble()
            val slowdown = if (noise < load.noisyFraction) NOISE_FACTOR else 1.0
            return slowdown * load.slowness(index, queue.time) / load.domainSpeeds[domain]
        }

        fun step(): Duration = (factor() * (STEP_MILLIS + STEP_MILLIS_PER_RUN * running)).milliseconds

        fun percent(): Int? =
            when (load.figures) {
                FigureKind.FRESH, FigureKind.STALE -> (factor() * load.domainSpeeds[domain] * 100).toInt()
                FigureKind.MISSING -> null
                FigureKind.FALSE -> faults.nextInt(40, 400)
            }
    }

    private class Request(
        val vm: VmId,
        val domain: Int,
        val at: Duration,
        val prompt: PromptShape,
    )

    fun run(): PlacementModel {
        dispatcher.onManifest(manifestOf())
        dispatcher.onFollowers((0 until VMS).map { VmId("vm$it") }, VMS)
        tick()
        scheduleArrivals()
        queue.runUntil(load.length + 10.seconds)
        return this
    }

    private fun tick() {
        val usable =
            servers.filter { load.isDomainUsable(it.domain, queue.time) }.map {
                val domain = if (load.knowledge == Knowledge.ALL) domainOf(it.domain) else domainOf(0)
                val entry = ServerEntry(it.id, CHAT, "10.0.0.1:80", domain, load.slots, false, Duration.ZERO, 0)
                UsableServer(entry, START)
            }
        execute(dispatcher.onServers(usable, now))
        execute(dispatcher.tick(now))
        dispatcher.takeDomainChanges().forEach { changes += queue.time to it }
        dispatcher.takeDomainFlows().forEach { (flow, count) -> flows.merge(flow, count, Int::plus) }
        queue.after(50.milliseconds, ::tick)
    }

    private fun domainOf(index: Int) = FailureDomainId("d$index")

    private fun scheduleArrivals() {
        queue.after(random.nextGap(MAX_RATE_FACTOR * load.requestsPerSecond)) {
            if (queue.time < load.length) {
                // A wave whose peak is five times its trough.
                val wave = 1.0 - WAVE_DEPTH * cos(2 * PI * (queue.time / WAVE_LENGTH))
                if (random.nextDouble() * MAX_RATE_FACTOR < wave) arrive()
                scheduleArrivals()
            }
        }
    }

    private fun arrive() {
        arrived++
        val domain = chooseDomain()
        val vm = VmId("vm${random.nextInt(VMS / load.domainSpeeds.size) * load.domainSpeeds.size + domain}")
        val team = random.nextInt(WORKSPACES)
        val shared =
            listOf(SizedPart(PromptPart("w$team"), 120), SizedPart(PromptPart("w$team-${random.nextInt(3)}"), 80))
        val request = Request(vm, domain, queue.time, PromptShape(shared, PROMPT_TOKENS, EVENTS))
        val call = CallId(vm, nextNumber++)
        pending[call] = request
        queue.after(NETWORK_DELAY) {
            val placement =
                PlaceRequest(
                    call = call,
                    service = CHAT,
                    meteredWorkspace = null,
                    priority = 0,
                    latestStart = START + request.at + 150.milliseconds,
                    queueDeadline = START + request.at + 3.seconds,
                    excluded = emptySet(),
                    origin = domainOf(domain).takeIf { load.knowledge == Knowledge.ALL && load.isOriginKnown },
                    prompt = if (load.knowledge == Knowledge.ALL) request.prompt else PromptShape.UNKNOWN,
                )
            execute(dispatcher.place(placement, now))
        }
    }

    private fun chooseDomain(): Int {
        if (load.demand.isEmpty()) return random.nextInt(load.domainSpeeds.size)
        var remaining = random.nextDouble() * load.demand.sum()
        for ((index, share) in load.demand.withIndex()) {
            remaining -= share
            if (remaining < 0) return index
        }
        return load.demand.lastIndex
    }

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> {
                    val request = pending.remove(action.call) ?: continue
                    val server =
                        servers[
                            action.server.value
                                .drop(1)
                                .toInt(),
                        ]
                    val way = if (server.domain == request.domain) NETWORK_DELAY else NETWORK_DELAY + DOMAIN_DELAY
                    queue.after(NETWORK_DELAY + way) { start(action.call, request, server) }
                }

                is DispatchAction.Refuse -> {
                    pending -= action.call
                    refused++
                }

                is DispatchAction.StartItem, is DispatchAction.StopItem, is DispatchAction.GiveUpItem -> {}
            }
        }
    }

    private fun start(
        call: CallId,
        request: Request,
        server: Server,
    ) {
        placed++
        placedByDomain[request.domain]++
        if (server.domain != request.domain) leftByDomain[request.domain]++
        startsBySecond[server.index][queue.time.inWholeSeconds.toInt()]++
        val held = server.cache.heldTokens(request.prompt.shared, now)
        val shared = request.prompt.shared.sumOf { it.tokens }
        sharedTokens += shared
        sharedTokensRead += shared - held
        server.cache.onRun(request.prompt.shared, now)
        server.running++
        val startedAt = queue.time
        val read = ((PROMPT_TOKENS - held) * MILLIS_PER_TOKEN * server.factor()).milliseconds
        queue.after(read + server.step()) {
            val firstEvent = queue.time - startedAt
            val isOnTime = queue.time + NETWORK_DELAY - request.at <= FIRST_EVENT_DUE
            val staleness = if (load.figures == FigureKind.STALE) STALE_AGE else Duration.ZERO
            val report = ReportedLoad(server.running, 0, load.slots, server.percent())
            queue.after(REPORT_INTERVAL * faults.nextDouble() + NETWORK_DELAY) {
                val age = queue.time - startedAt - firstEvent + staleness
                dispatcher.onServerLoads(listOf(ObservedLoad(server.id, report, age.inWholeMilliseconds)), now)
            }
            generate(EVENTS - 1, server, isOnTime) { isGood ->
                server.running--
                server.busyMillis += (queue.time - startedAt).inWholeMilliseconds
                if (isGood) onTime++
                val age = queue.time - startedAt - firstEvent + staleness
                val detail = RunDetail(load = report, loadAgeMillis = age.inWholeMilliseconds)
                queue.after(NETWORK_DELAY * 2) {
                    execute(dispatcher.release(call, RunOutcome.ANSWERED, firstEvent, now, detail))
                }
            }
        }
    }

    private fun generate(
        left: Int,
        server: Server,
        isGood: Boolean,
        onEnd: (Boolean) -> Unit,
    ) {
        if (left == 0) return onEnd(isGood)
        val step = server.step()
        queue.after(step) { generate(left - 1, server, isGood && step <= MAX_GAP, onEnd) }
    }

    override fun toString(): String =
        "on time %.3f, busiest/mean %.2f (starts %.2f), read again %.2f, left domain %.2f, refused %d of %d".format(
            onTimeFraction,
            busiestToMean,
            mostStarts,
            readAgainFraction,
            leftFraction,
            refused,
            arrived,
        )

    companion object {
        const val VMS = 64
        private const val WORKSPACES = 74
        private const val EVENTS = 20
        private const val PROMPT_TOKENS = 450
        private const val MILLIS_PER_TOKEN = 0.08
        private const val STEP_MILLIS = 18.0
        private const val STEP_MILLIS_PER_RUN = 2.5
        private const val SERVER_CACHE_TOKENS = 20_000
        private const val NOISE_MILLIS = 600L
        private const val NOISE_FACTOR = 2.5
        private const val MAX_RATE_FACTOR = 1.7
        private const val WAVE_DEPTH = 2.0 / 3
        private val WAVE_LENGTH = 2.2.seconds
        private val NETWORK_DELAY = 0.7.milliseconds
        private val DOMAIN_DELAY = 0.45.milliseconds
        private val FIRST_EVENT_DUE = 300.milliseconds
        private val MAX_GAP = 300.milliseconds
        private val REPORT_INTERVAL = 320.milliseconds
        private val STALE_AGE = 5.seconds
    }
}
