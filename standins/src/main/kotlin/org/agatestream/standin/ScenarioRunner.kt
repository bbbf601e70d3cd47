package org.agatestream.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.FailureDomainSetting
import org.agatestream.core.ModelId
import org.agatestream.core.ModelSetting
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RouteSetting
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceSetting
import java.time.Instant
import kotlin.time.Duration.Companion.seconds

/** The outcome of a scenario. */
internal sealed interface ScenarioOutcome {
    data object Passed : ScenarioOutcome

    data class Failed(
        val message: String,
    ) : ScenarioOutcome
}

/** Runs scenarios against real processes; [print] receives one line for each step. */
internal class ScenarioRunner(
    private val files: FleetFiles,
    private val print: (String) -> Unit,
) {
    /** Runs [scenario] and terminates all its processes. */
    suspend fun run(scenario: Scenario): ScenarioOutcome {
        val usesRelays = scenario.fleet.delay.isPositive() || scenario.steps.any { it.action is Action.SetLink }
        Fleet(scenario.fleet, files, usesRelays).use { fleet ->
            val scope = CoroutineScope(Dispatchers.IO.limitedParallelism(MAX_CALLS))
            return try {
                fleet.start()
                ScenarioRun(scenario, fleet, scope, print).run()
                ScenarioOutcome.Passed
            } catch (e: ScenarioFailure) {
                ScenarioOutcome.Failed("${scenario.name}${e.message}; logs are in ${files.directory}")
            } finally {
                scope.cancel()
            }
        }
    }

    private companion object {
        const val MAX_CALLS = 256
    }
}

/** One run of a scenario; its processes are already running. */
private class ScenarioRun(
    private val scenario: Scenario,
    private val fleet: Fleet,
    private val scope: CoroutineScope,
    private val print: (String) -> Unit,
) {
    private val calls = ScenarioCalls(fleet, scope)
    private val checks = ScenarioChecks(fleet, calls)

    suspend fun run() {
        try {
            putSettings()
        } catch (e: ScenarioFailure) {
            throw ScenarioFailure(": ${e.message}")
        }
        val start = MonotonicTime.now()
        print("started at ${Instant.now()}")
        scenario.steps.forEach { step ->
            step.at?.let { delay(it - (MonotonicTime.now() - start)) }
            runStep(step, start)
        }
    }

    private suspend fun runStep(
        step: Step,
        start: MonotonicTime,
    ) {
        try {
            val output = perform(step.action)
            val time = (MonotonicTime.now() - start).inWholeMilliseconds
            print(
                "${time.toString().padStart(
                    TIME_WIDTH,
                )} ms  ${step.text}${output.let { if (it.isEmpty()) "" else "  -> $it" }}",
            )
        } catch (e: ScenarioFailure) {
            throw ScenarioFailure(":${step.line}: ${step.text}: ${e.message}")
        }
    }

    /** Performs [action] and returns the text to print. */
    private suspend fun perform(action: Action): String {
        when (action) {
            is Action.Kill -> kill(action.process)
            is Action.Stop -> stop(action.vm)
            is Action.Start -> fleet.startVm(action.vm, action.domain)
            is Action.Freeze -> fleet.vm(action.vm).let { it.process.freeze().also { _ -> it.isFrozen = true } }
            is Action.Resume -> fleet.vm(action.vm).let { it.process.resume().also { _ -> it.isFrozen = false } }
            is Action.SetLink -> fleet.setLink(action.from, action.to, action.state)
            is Action.SetFaults -> fleet.setFaults(action.faults)
            is Action.ControlEngine -> controlEngine(action)
            is Action.ControlService -> controlService(action)
            is Action.Call -> return calls.call(action)
            is Action.CreateKey -> return calls.createKey(action)
            is Action.WithdrawKey -> return calls.withdrawKey(action)
            is Action.Race -> return calls.race(action)
            is Action.Submit -> return calls.submit(action)
            is Action.CancelJob -> return "${calls.callJob(action.job, "POST", "/cancel")}"
            is Action.Load -> return calls.startLoad(action)
            is Action.Mark -> checks.mark(action.name)
            is Action.Wait -> delay(action.duration)
            is Action.Expect -> return expect(action)
        }
        return ""
    }

    private suspend fun expect(action: Action.Expect): String {
        checks.expect(action.check, action.within)
        return "holds" + checks.detail(action.check)
    }

    private suspend fun kill(name: String) {
        fleet.servers[name]?.let { return it.process.killAndWait() }
        val vm = fleet.vm(VmId(name))
        vm.process.killAndWait()
        fleet.publishVms()
        expireAddress(vm)
    }

    private suspend fun stop(id: VmId) {
        val vm = fleet.vm(id)
        fleet.publishVms(leaving = id)
        vm.process.stop()
        expireAddress(vm)
    }

    /** Marks [vm] as not callable once the time to live of its entry address has expired. */
    private fun expireAddress(vm: FleetVm) {
        scope.launch {
            delay(fleet.spec.entryTtlSeconds.seconds)
            vm.isCallable = false
        }
    }

    private suspend fun controlEngine(action: Action.ControlEngine) {
        val json = Json.encodeToString(EngineControl.serializer(), action.control)
        fleet.control(fleet.server(action.server).address, "/standin/engine", json)
    }

    private suspend fun controlService(action: Action.ControlService) {
        val json = Json.encodeToString(ServiceControl.serializer(), action.control)
        fleet.control(fleet.server(Fleet.SERVICE).address, "/standin/service", json)
    }

    private suspend fun putSettings() {
        val spec = fleet.spec
        (1..spec.domains).forEach {
            put("/fleet/failure-domains/d$it", FailureDomainSetting.serializer(), FailureDomainSetting())
        }
        put("/fleet/models/$MODEL", ModelSetting.serializer(), ModelSetting())
        fleet.servers.values.forEach {
            put("/fleet/backend-servers/${it.name}", BackendServerSetting.serializer(), it.setting())
        }
        val servers = listOf(BackendServerId(Fleet.SERVICE))
        put(
            "/fleet/routes/spokes",
            RouteSetting.serializer(),
            RouteSetting(servers, idempotentPaths = listOf("/length")),
        )
        put("/fleet/routes/public", RouteSetting.serializer(), RouteSetting(servers, open = true, listOf("/length")))
        listOf("/teams/care/workspaces/clinic", "/teams/wheels/workspaces/assembler").forEach { path ->
            put(path, WorkspaceSetting.serializer(), WorkspaceSetting(spec.rate, spec.burst))
        }
    }

    private fun FleetServer.setting(): BackendServerSetting {
        val isEngine = name != Fleet.SERVICE
        return BackendServerSetting(
            address = publicAddress,
            failureDomain = domain,
            kind = if (isEngine) BackendKind.ENGINE else BackendKind.SERVICE,
            models = if (isEngine) listOf(ModelId(MODEL)) else emptyList(),
            coldSlots = if (isEngine) fleet.spec.coldSlots else fleet.spec.serviceSlots,
            warmSlots = if (isEngine) fleet.spec.warmSlots else fleet.spec.serviceSlots,
        )
    }

    private suspend fun <T> put(
        path: String,
        serializer: kotlinx.serialization.KSerializer<T>,
        setting: T,
    ) {
        val json = Json { encodeDefaults = true }
        val result = calls.put(path, json.encodeToString(serializer, setting))
        print("setup  put $path  -> $result")
    }

    private companion object {
        const val MODEL = ScenarioCalls.MODEL
        const val TIME_WIDTH = 6
    }
}
