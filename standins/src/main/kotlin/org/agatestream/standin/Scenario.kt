package org.agatestream.standin

import org.agatestream.core.FailureDomainId
import org.agatestream.core.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A scripted run of a fleet: what it is made of and the steps in order. */
internal data class Scenario(
    val name: String,
    val fleet: FleetSpec,
    val steps: List<Step>,
)

/** One line of a scenario. */
internal data class Step(
    val line: Int,
    val text: String,
    /** When the step begins, from the first step on, or null for at once. */
    val at: Duration?,
    val action: Action,
)

/** The processes of a scenario. */
internal data class FleetSpec(
    val vms: Int = 3,
    val domains: Int = 3,
    val engines: Int = 3,
    /** One-way delay between VMs of different failure domains. */
    val delay: Duration = Duration.ZERO,
    /** How old the platform's VM list is. */
    val lag: Duration = 500.milliseconds,
    val coldSlots: Int = 2,
    val warmSlots: Int = 16,
    /** Calls that the plain service gets at once. */
    val serviceSlots: Int = 32,
    /** True if the engines start cold. */
    val cold: Boolean = false,
    /** How long callers may use an entry answer, in seconds. */
    val entryTtl: Int = 2,
    /** Requests a second, and burst, of each workspace. */
    val rate: Double = 500.0,
    val burst: Int = 500,
)

/** The state of the network between two processes. */
internal data class LinkState(
    val cut: Boolean = false,
    val delay: Duration = Duration.ZERO,
)

/** How a call of a scenario is made. */
internal data class CallOptions(
    /** The name of the caller's key, or null for no key. */
    val key: String?,
    /** The VM that is called, or null for any that takes the call. */
    val via: VmId?,
    /** The name under which the result is kept. */
    val result: String,
    /** True if the next step does not wait for the result. */
    val background: Boolean,
    /** Prints the body of the answer. */
    val show: Boolean,
)

/** What a call asks for. */
internal sealed interface CallSpec {
    /** A completion of [prompt]. */
    data class Complete(
        val prompt: String,
        val tokens: Int,
        val stream: Boolean,
        /** Leaves after so many events of a stream. */
        val leaveAfter: Int? = null,
    ) : CallSpec

    /** A booking under an idempotency key. */
    data class Book(
        val id: String,
    ) : CallSpec

    /** Any other call. */
    data class Plain(
        val method: String,
        val target: String,
        val body: String,
    ) : CallSpec
}

/** What a step does. */
internal sealed interface Action {
    /** Ends a VM or a backend server at once. */
    data class Kill(
        val process: String,
    ) : Action

    /** Asks a VM to shut down in order. */
    data class Stop(
        val vm: VmId,
    ) : Action

    /** Starts a VM that was not there before. */
    data class Start(
        val vm: VmId,
        val domain: FailureDomainId,
    ) : Action

    /** Stops a VM's process without ending it. */
    data class Freeze(
        val vm: VmId,
    ) : Action

    data class Resume(
        val vm: VmId,
    ) : Action

    /** Sets the network between two processes; null for [state] takes it back to the start. */
    data class SetLink(
        val from: String,
        val to: String,
        val state: LinkState?,
    ) : Action

    data class SetFaults(
        val faults: Faults,
    ) : Action

    data class ControlEngine(
        val server: String,
        val control: EngineControl,
    ) : Action

    data class ControlService(
        val control: ServiceControl,
    ) : Action

    data class Call(
        val spec: CallSpec,
        val options: CallOptions,
    ) : Action

    /** Makes a caller's key through the administration API and keeps it under [name]. */
    data class CreateKey(
        val name: String,
        val workspace: String,
    ) : Action

    data class WithdrawKey(
        val name: String,
    ) : Action

    /** Changes one setting through several VMs at once, all expecting the same revision. */
    data class Race(
        val path: String,
        val vms: List<VmId>,
        val body: String,
        val result: String,
    ) : Action

    /** Submits a batch job of wheels, some of them impossible. */
    data class Submit(
        val job: String,
        val items: Int,
        val impossible: Int,
        val options: CallOptions,
    ) : Action

    data class CancelJob(
        val job: String,
    ) : Action

    /** Sends calls at a fixed rate, whether or not answers come. */
    data class Load(
        val name: String,
        val key: String,
        val ratePerSecond: Double,
        val span: Duration,
        val tokens: Int,
        val prompts: Int,
        /** Repeats a call that was refused as not run at the next VM. */
        val retry: Boolean,
        val vms: List<VmId>,
    ) : Action

    /** Remembers how much has reached each backend server. */
    data class Mark(
        val name: String,
    ) : Action

    data class Wait(
        val span: Duration,
    ) : Action

    /** Fails the scenario unless [check] holds within [within]. */
    data class Expect(
        val check: Check,
        val within: Duration,
    ) : Action
}

/** What a scenario expects. */
internal sealed interface Check {
    /** The result of a call has one of [statuses], and the error code and run state if given. */
    data class Result(
        val name: String,
        val statuses: Set<Int>,
        val code: String?,
        val run: String?,
        /** Time until the head of the answer, or null for any. */
        val under: Duration?,
    ) : Check

    /** Of the results of a race, [accepted] have status 200 and the others are conflicts. */
    data class RaceWon(
        val name: String,
        val accepted: Int,
    ) : Check

    /** A result is the whole answer to its own prompt. */
    data class Whole(
        val name: String,
    ) : Check

    /** Every live VM answers a completion under [key]: with [code], or in full if it is null. */
    data class EachVm(
        val key: String,
        val code: String?,
    ) : Check

    /** No key reached a backend server or the platform. */
    data object NoKeyInRecords : Check

    data class JobState(
        val job: String,
        val state: String,
    ) : Check

    /** Every item of a job has one result, and it is the right one. */
    data class EachItemOnce(
        val job: String,
    ) : Check

    data class Counted(
        val quantity: Quantity,
        val comparison: Comparison,
        val number: Long,
    ) : Check

    /** In no span of time did a load get more than the rate and the burst. */
    data class WithinRate(
        val load: String,
        val rate: Double,
        val burst: Int,
    ) : Check

    data class Exit(
        val vm: VmId,
        val status: Int,
    ) : Check

    /** Every live VM has the newest accepted revision in force. */
    data object InForce : Check

    /** The entry addresses that every live VM gives hold [included] and not [excluded]. */
    data class Entries(
        val included: Set<String>,
        val excluded: Set<String>,
    ) : Check
}

/** A number that a scenario can compare. */
internal sealed interface Quantity {
    data class BookingRuns(
        val id: String,
    ) : Quantity

    /** How often an engine fell over. */
    data class FallOvers(
        val server: String,
    ) : Quantity

    /** Requests running on an engine. */
    data class Running(
        val server: String,
    ) : Quantity

    /** Requests that reached a backend server, or those of a failure domain, since a mark. */
    data class NewWork(
        val target: String,
        val mark: String,
    ) : Quantity

    /** A count of a load: `ok`, `refused`, `lost`, `wrong`, or an error code. */
    data class LoadCount(
        val load: String,
        val outcome: String,
    ) : Quantity
}

/** How a number is compared. */
internal enum class Comparison(
    val sign: String,
) {
    AT_MOST("<="),
    AT_LEAST(">="),
    EQUAL("=="),
    ;

    fun holds(
        left: Long,
        right: Long,
    ): Boolean =
        when (this) {
            AT_MOST -> left <= right
            AT_LEAST -> left >= right
            EQUAL -> left == right
        }
}
