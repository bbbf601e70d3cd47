package org.agatestream.standin

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.agatestream.core.FailureDomainId
import org.agatestream.core.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The result of parsing a scenario. */
internal sealed interface ParsedScenario {
    data class Valid(
        val scenario: Scenario,
    ) : ParsedScenario

    /** All errors, as `file:line: message`. */
    data class Invalid(
        val faults: List<String>,
    ) : ParsedScenario
}

/** Parses the text of a scenario file; docs/SCENARIOS.md describes the language. */
internal fun parseScenario(
    name: String,
    text: String,
): ParsedScenario {
    var fleet = FleetSpec()
    val steps = mutableListOf<Step>()
    val faults = mutableListOf<String>()
    text.lines().forEachIndexed { index, raw ->
        val line = raw.trim()
        if (line.isEmpty() || line.startsWith("#")) return@forEachIndexed
        try {
            val reader = StepReader(line)
            if (steps.isEmpty() &&
                reader.take("fleet")
            ) {
                fleet = reader.fleet()
            } else {
                steps += reader.step(index + 1, line)
            }
            reader.finish()
        } catch (e: StepSyntaxException) {
            faults += "$name:${index + 1}: ${e.message}"
        }
    }
    return if (faults.isEmpty()) ParsedScenario.Valid(Scenario(name, fleet, steps)) else ParsedScenario.Invalid(faults)
}

private fun StepReader.fleet(): FleetSpec {
    val default = FleetSpec()
    return FleetSpec(
        vms = int("vms", default.vms),
        domains = int("domains", default.domains),
        engines = int("engines", default.engines),
        delay = duration("delay", default.delay),
        lag = duration("lag", default.lag),
        coldSlots = int("cold-slots", default.coldSlots),
        warmSlots = int("warm-slots", default.warmSlots),
        serviceSlots = int("service-slots", default.serviceSlots),
        cold = flag("cold"),
        entryTtlSeconds = int("entry-ttl", default.entryTtlSeconds),
        rate = double("rate", default.rate),
        burst = int("burst", default.burst),
    )
}

private fun StepReader.step(
    line: Int,
    text: String,
): Step {
    val at = if (take("at")) durationWord() else null
    return Step(line, text, at, action())
}

private fun StepReader.action(): Action =
    when (val verb = word("a step")) {
        "kill" -> Action.Kill(word("a VM or a backend server"))
        "stop" -> Action.Stop(vm())
        "start" -> Action.Start(vm(), FailureDomainId(requiredOption("domain")))
        "freeze" -> Action.Freeze(vm())
        "resume" -> Action.Resume(vm())
        "cut" -> link(LinkState(cut = true))
        "mend" -> link(null)
        "slow" -> link(LinkState(delay = duration("by", 100.milliseconds)))
        "platform" -> platform()
        "engine" -> Action.ControlEngine(word("an engine"), decode(EngineControl.serializer()))
        "service" -> Action.ControlService(decode(ServiceControl.serializer()))
        "do" -> call()
        "load" -> load()
        "mark" -> Action.Mark(word("a name"))
        "wait" -> Action.Wait(durationWord())
        "expect" -> expect()
        else -> throw StepSyntaxException("unknown step \"$verb\"; allowed are $VERBS")
    }

private fun StepReader.vm(): VmId = VmId(word("a VM"))

private fun StepReader.link(state: LinkState?): Action =
    Action.SetLink(word("a VM or a backend server"), word("a VM, platform, vms or all"), state)

private fun StepReader.platform(): Action {
    if (take("down")) return Action.SetFaults(Faults(down = true))
    if (take("up")) return Action.SetFaults(Faults())
    if (take("loses")) return Action.SetFaults(Faults(loseCommitAnswers = intWord()).also { take("commit-answers") })
    return Action.SetFaults(decode(Faults.serializer()))
}

private fun StepReader.call(): Action =
    when (val what = word("what to do")) {
        "complete" -> Action.Call(complete(), options())
        "book" -> Action.Call(CallSpec.Book(word("an idempotency key")), options())
        "call" -> Action.Call(CallSpec.Plain(word("a method"), word("a path"), json() ?: ""), options())
        "put" -> Action.Call(CallSpec.Plain("PUT", SETTINGS + word("a path"), requiredJson()), operatorOptions())
        "delete" -> Action.Call(CallSpec.Plain("DELETE", SETTINGS + word("a path"), ""), operatorOptions())
        "key" -> Action.CreateKey(word("a name"), requiredOption("workspace"))
        "withdraw" -> Action.WithdrawKey(word("the name of a key"))
        "race" -> race()
        "submit" -> submit()
        "cancel" -> Action.CancelJob(word("a job"))
        else -> throw StepSyntaxException("unknown \"do $what\"; allowed are $CALLS")
    }

private fun StepReader.complete(): CallSpec =
    CallSpec.Complete(
        prompt = option("prompt") ?: "hello",
        tokens = int("tokens", DEFAULT_TOKENS),
        stream = flag("stream"),
        leaveAfter = option("leave-after")?.toIntOrNull(),
    )

private fun StepReader.options(): CallOptions =
    CallOptions(
        key = option("key"),
        via = option("via")?.let { VmId(it) },
        result = option("as") ?: "last",
        background = flag("background"),
        show = flag("show"),
    )

private fun StepReader.operatorOptions(): CallOptions = options().let { it.copy(key = it.key ?: OPERATOR) }

private fun StepReader.race(): Action =
    Action.Race(
        word("a path of a setting"),
        requiredOption("via").split(',').map { VmId(it) },
        requiredJson(),
        option("as") ?: "race",
    )

private fun StepReader.submit(): Action =
    Action.Submit(word("a name"), int("items", DEFAULT_ITEMS), int("impossible", 0), options())

private fun StepReader.load(): Action =
    Action.Load(
        name = word("a name"),
        key = requiredOption("key"),
        ratePerSecond = double("rate", DEFAULT_RATE),
        duration = duration("for", 5.seconds),
        tokens = int("tokens", DEFAULT_TOKENS),
        prompts = int("prompts", 1),
        retry = flag("retry"),
        vms = option("via")?.split(',').orEmpty().map { VmId(it) },
    )

private fun StepReader.expect(): Action {
    val within = duration("within", Duration.ZERO)
    return Action.Expect(check(), within)
}

private fun StepReader.check(): Check =
    when (val what = word("what to expect")) {
        "result" -> result()
        "race" -> Check.RaceWon(word("a race"), int("accepted", 1))
        "whole" -> Check.Whole(word("a result"))
        "each-vm" -> eachVm()
        "no-key-in-records" -> Check.NoKeyInRecords
        "job" -> Check.JobState(word("a job"), word("a state"))
        "each-item-once" -> Check.EachItemOnce(word("a job"))
        "within-rate" -> Check.RateLimited(word("a load"), double("rate", 0.0), int("burst", 0))
        "exit" -> Check.Exit(vm(), intWord())
        "in-force" -> Check.InForce
        "entries" -> Check.Entries(names("include"), names("exclude"))
        else -> counted(what)
    }

private fun StepReader.result(): Check {
    val under = duration("under", Duration.INFINITE).takeIf { it.isFinite() }
    return Check.Result(word("a result"), statuses(), option("code"), option("run"), under)
}

private fun StepReader.eachVm(): Check {
    val key = requiredOption("key")
    if (take("answers")) return Check.EachVm(key, null)
    if (!take("refuses")) throw StepSyntaxException("expected \"answers\" or \"refuses\"")
    return Check.EachVm(key, requiredOption("code"))
}

private fun StepReader.counted(what: String): Check {
    val quantity =
        when (what) {
            "booking-runs" -> Quantity.BookingRuns(word("an idempotency key"))
            "fall-overs" -> Quantity.FallOvers(word("an engine"))
            "running" -> Quantity.Running(word("an engine"))
            "new-work" -> Quantity.NewWork(word("a backend server or failure domain"), requiredOption("since"))
            "load" -> Quantity.LoadCount(word("a load"), word("ok, refused, lost, wrong or an error code"))
            else -> throw StepSyntaxException("unknown \"expect $what\"; allowed are $CHECKS")
        }
    val sign = word("a comparison")
    val comparison =
        Comparison.entries.firstOrNull { it.sign == sign }
            ?: throw StepSyntaxException("expected <=, >= or ==, found \"$sign\"")
    return Check.Counted(quantity, comparison, intWord().toLong())
}

private fun StepReader.statuses(): Set<Int> =
    requiredOption("status")
        .split(',')
        .map { it.toIntOrNull() ?: throw StepSyntaxException("expected HTTP statuses, found \"$it\"") }
        .toSet()

private fun StepReader.names(option: String): Set<String> = option(option)?.split(',')?.toSet().orEmpty()

private fun <T> StepReader.decode(deserializer: DeserializationStrategy<T>): T {
    val json = requiredJson()
    return try {
        strictJson.decodeFromString(deserializer, json)
    } catch (e: SerializationException) {
        throw StepSyntaxException(
            e.message
                .orEmpty()
                .lineSequence()
                .first(),
        )
    }
}

private val strictJson = kotlinx.serialization.json.Json

/** The key name that stands for the operator's key in calls. */
internal const val OPERATOR = "operator"
internal const val SETTINGS = "/admin/v1/settings"
private const val DEFAULT_TOKENS = 8
private const val DEFAULT_ITEMS = 100
private const val DEFAULT_RATE = 20.0
private const val VERBS =
    "at, kill, stop, start, freeze, resume, cut, mend, slow, platform, engine, service, do, load, mark, wait, expect"
private const val CALLS = "complete, book, call, put, delete, key, withdraw, race, submit, cancel"
private const val CHECKS =
    "result, race, whole, each-vm, no-key-in-records, job, each-item-once, within-rate, exit, in-force, entries, " +
        "booking-runs, fall-overs, running, new-work, load"
