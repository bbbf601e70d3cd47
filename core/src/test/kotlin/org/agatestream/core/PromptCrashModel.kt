package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a modelled fleet blames for the end of a server. */
internal enum class Blame { NOTHING, KEY, PART }

/**
 * A model without a network of VMs, their coordinator and backend servers, some of which end on requests.
 *
 * Each server ends when it begins to answer a request with one of the deadly parts, and is back after [DOWN_TIME].
 * VMs exchange facts every [REPORT_INTERVAL]. Beside it, a failure domain goes dark, single servers end for no reason,
 * and the coordinator ends.
 */
internal class PromptCrashModel(
    seed: Int,
    private val blame: Blame,
    private val hasDeadlyParts: Boolean = true,
) {
    private class Vm(
        val id: VmId,
    ) {
        val suspects = CrashSuspects()
        val runs = HashMap<Long, Run>()
    }

    private class Server(
        val index: Int,
    ) {
        val id = BackendServerId("s$index")
        var starts = 0L
        var downUntil: MonotonicTime? = null
        val runs = ArrayList<Run>()

        fun incarnation() = ServerIncarnation(id, starts)
    }

    private class Request(
        val deadly: PromptPart?,
        val parts: List<PromptPart>,
        var attempts: Int = 0,
    )

    private class Run(
        val vm: Vm,
        val number: Long,
        val request: Request,
        val server: Server,
        val sentAt: MonotonicTime,
        var hasBegun: Boolean = false,
    )

    private val random = Random(seed)
    private val vms = List(VMS) { Vm(VmId("vm$it")) }.toMutableList()
    private val servers = List(SERVERS) { Server(it) }
    private val queued = HashMap<CallId, Request>()
    private var coordinator = vms.first()
    private var dispatcher = dispatcherAt(coordinator, START)
    private var number = 0L

    /** The crashes that each deadly part caused, with their times since the start. */
    val crashes = HashMap<PromptPart, MutableList<Duration>>()

    /** The runs sent for each deadly part, with their times since the start. */
    val sent = HashMap<PromptPart, MutableList<Duration>>()
    val condemnedSound = HashSet<PromptPart>()
    var soundRequests = 0
        private set
    var soundRunsLost = 0
        private set
    var soundRefused = 0
        private set

    fun run(): PromptCrashModel {
        for (step in 0..(LENGTH / STEP).toInt()) {
            val at = STEP * step
            step(at, START + at)
        }
        return this
    }

    private fun step(
        at: Duration,
        now: MonotonicTime,
    ) {
        if (at == DARK_AT) servers.filter { it.index % 3 == 0 }.forEach { end(it, now) }
        if (at.isMultipleOf(SINGLE_END_INTERVAL)) end(servers.random(random), now)
        if (at == COORDINATOR_END) endCoordinator(now)
        servers.forEach { revive(it, now) }
        arrive(at, now)
        servers.forEach { advance(it, now) }
        if (at.isMultipleOf(REPORT_INTERVAL)) report(now)
        apply(dispatcher.tick(now), now)
        vms.forEach { vm -> vm.suspects.condemned.mapTo(condemnedSound) { it.part } }
        condemnedSound -= DEADLY_PARTS.toSet()
    }

    private fun arrive(
        at: Duration,
        now: MonotonicTime,
    ) {
        if (random.nextDouble() < SOUND_PER_STEP) {
            soundRequests++
            val subject = PromptPart("subject${random.nextInt(SUBJECTS)}")
            submit(vms.random(random), Request(null, partsOf(subject)), now)
        }
        if (!hasDeadlyParts || at < DEADLY_FROM || at > DEADLY_UNTIL) return
        for (part in DEADLY_PARTS) {
            if (random.nextDouble() < DEADLY_PER_STEP) submit(vms.random(random), Request(part, partsOf(part)), now)
        }
    }

    private fun partsOf(second: PromptPart): List<PromptPart> =
        when (blame) {
            Blame.NOTHING -> emptyList()
            Blame.KEY -> listOf(PromptPart("key${random.nextInt(KEYS)}"))
            Blame.PART -> listOf(PromptPart("first${random.nextInt(FIRST_PARTS)}"), second)
        }

    private fun submit(
        vm: Vm,
        request: Request,
        now: MonotonicTime,
    ) {
        if (vm.suspects.judge(request.parts, now) is PromptVerdict.Condemned) return onRefused(request)
        request.attempts++
        val call = CallId(vm.id, number++)
        queued[call] = request
        coordinator.suspects.merge(vm.suspects.factsOn(request.parts, now), now)
        apply(dispatcher.place(requestOf(call.number, now).copy(call = call, parts = request.parts), now), now)
    }

    private fun apply(
        actions: List<DispatchAction>,
        now: MonotonicTime,
    ) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> {
                    begin(action, now)
                }

                is DispatchAction.Refuse -> {
                    queued.remove(action.call)?.let { onRefused(it) }
                }

                is DispatchAction.StartItem, is DispatchAction.StopItem, is DispatchAction.GiveUpItem -> {}
            }
        }
    }

    private fun onRefused(request: Request) {
        if (request.deadly == null) soundRefused++
    }

    private fun begin(
        action: DispatchAction.Place,
        now: MonotonicTime,
    ) {
        val request = queued.remove(action.call) ?: return
        val vm = vms.firstOrNull { it.id == action.call.vm } ?: return
        val server = servers.first { it.id == action.server }
        if (server.downUntil != null) {
            release(vm, action.call.number, RunOutcome.UNREACHABLE, null, now)
            return retry(vm, request, now)
        }
        request.deadly?.let { sent.getOrPut(it) { ArrayList() } += now - START }
        val run = Run(vm, action.call.number, request, server, now)
        server.runs += run
        vm.runs[run.number] = run
    }

    private fun advance(
        server: Server,
        now: MonotonicTime,
    ) {
        for (run in server.runs.filter { !it.hasBegun && now - it.sentAt >= FIRST_EVENT }) {
            val deadly = run.request.deadly
            if (deadly != null) {
                crashes.getOrPut(deadly) { ArrayList() } += now - START
                return end(server, now)
            }
            run.hasBegun = true
            run.vm.suspects.onSoundStart(run.request.parts, now)
        }
        for (run in server.runs.filter { now - it.sentAt >= RUN_TIME }) {
            server.runs -= run
            run.vm.runs -= run.number
            release(run.vm, run.number, RunOutcome.ANSWERED, FIRST_EVENT, now)
        }
    }

    private fun end(
        server: Server,
        now: MonotonicTime,
    ) {
        if (server.downUntil != null) return
        server.downUntil = now + DOWN_TIME
        val lost = server.runs.toList()
        server.runs.clear()
        for (run in lost) {
            run.vm.runs -= run.number
            if (run.request.deadly == null) soundRunsLost++
            if (!run.hasBegun) {
                run.vm.suspects.onCrash(run.request.parts, server.incarnation(), run.sentAt, now)
                coordinator.suspects.merge(run.vm.suspects.factsOn(run.request.parts, now), now)
            }
            release(run.vm, run.number, RunOutcome.LOST, FIRST_EVENT.takeIf { run.hasBegun }, now)
        }
        lost.filter { it.vm in vms }.forEach { retry(it.vm, it.request, now) }
    }

    private fun release(
        vm: Vm,
        number: Long,
        outcome: RunOutcome,
        firstEvent: Duration?,
        now: MonotonicTime,
    ) {
        apply(dispatcher.release(CallId(vm.id, number), outcome, firstEvent, now), now)
    }

    private fun retry(
        vm: Vm,
        request: Request,
        now: MonotonicTime,
    ) {
        if (request.attempts < MAX_ATTEMPTS) submit(vm, request, now) else onRefused(request)
    }

    private fun revive(
        server: Server,
        now: MonotonicTime,
    ) {
        if (server.downUntil?.let { now < it } != false) return
        server.downUntil = null
        server.starts++
    }

    private fun report(now: MonotonicTime) {
        for (vm in vms) {
            coordinator.suspects.merge(vm.suspects.facts(now), now)
            val running =
                vm.runs.values.map {
                    RunningCall(
                        it.number,
                        it.server.id,
                        null,
                        it.hasBegun,
                        null,
                        it.request.parts,
                    )
                }
            apply(dispatcher.onReport(vm.id, running, emptyList(), now), now)
            vm.suspects.merge(coordinator.suspects.facts(now), now)
        }
    }

    /** Ends the coordinator's VM with its runs and facts; another VM takes over and requests are sent again. */
    private fun endCoordinator(now: MonotonicTime) {
        val lost = coordinator
        vms -= lost
        servers.forEach { server -> server.runs.removeAll { it.vm == lost } }
        coordinator = vms.first()
        dispatcher = dispatcherAt(coordinator, now)
        report(now)
        val waiting = queued.toMap()
        queued.clear()
        for ((call, request) in waiting) vms.firstOrNull { it.id == call.vm }?.let { submit(it, request, now) }
    }

    private fun dispatcherAt(
        vm: Vm,
        now: MonotonicTime,
    ): Dispatcher {
        val started = Dispatcher(nextNumber = 1_000_000, random = Random(random.nextInt()), suspects = vm.suspects)
        started.onManifest(manifestOf())
        started.onFollowers(vms.map { it.id }, vms.size)
        started.onServers(servers.map { serverOf(it.id.value, slots = SLOTS) }, now)
        return started
    }

    private fun Duration.isMultipleOf(span: Duration): Boolean =
        this > Duration.ZERO && inWholeMilliseconds % span.inWholeMilliseconds == 0L

    internal companion object {
        val DEADLY_PARTS = listOf(PromptPart("deadly1"), PromptPart("deadly2"))
        private const val VMS = 8
        private const val SERVERS = 9
        private const val SLOTS = 8
        private const val SUBJECTS = 60
        private const val FIRST_PARTS = 3
        private const val KEYS = 6
        private const val MAX_ATTEMPTS = 3
        private const val SOUND_PER_STEP = 0.25
        private const val DEADLY_PER_STEP = 0.01
        private val STEP = 5.milliseconds
        private val LENGTH = 24.seconds
        private val FIRST_EVENT = 60.milliseconds
        private val RUN_TIME = 600.milliseconds
        private val DOWN_TIME = 3.seconds
        private val REPORT_INTERVAL = 300.milliseconds
        private val SINGLE_END_INTERVAL = 2.seconds
        private val DARK_AT = 5.seconds
        private val COORDINATOR_END = 8.seconds
        private val DEADLY_FROM = 4.seconds
        private val DEADLY_UNTIL = 22.seconds
    }
}
