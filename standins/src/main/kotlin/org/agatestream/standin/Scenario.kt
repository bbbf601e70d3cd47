package org.agatestream.standin

import org.agatestream.core.FailureDomainId
import org.agatestream.core.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A scripted run of a fleet. */
internal data class Scenario(
    val name: String,
    val fleet: FleetSpec,
    val steps: List<Step>,
)

/** One line of a scenario. */
internal data class Step(
    val line: Int,
    val text: String,
    /** Start of the step relative to the start of the scenario, or null to run it immediately. */
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
    /** Lag of the platform's VM list. */
    val lag: Duration = 500.milliseconds,
    val coldSlots: Int = 2,
    val warmSlots: Int = 16,
    /** Maximum concurrent calls of the plain service. */
    val serviceSlots: Int = 32,
    /** True if the engines start cold. */
    val cold: Boolean = false,
    /** Time to live of entry addresses in seconds. */
    val entryTtlSeconds: Int = 2,
    /** Rate limit of each workspace in requests per second. */
    val rate: Double = 500.0,
    /** Burst of each workspace in requests. */
    val burst: Int = 500,
)

/** The state of the network link between two processes. */
internal data class LinkState(
    val cut: Boolean = false,
    val delay: Duration = Duration.ZERO,
)

/** Options of a call in a scenario. */
internal data class CallOptions(
    /** The name of the caller's key, or null for no key. */
    val key: String?,
    /** The VM to call, or null for any VM that accepts the call. */
    val via: VmId?,
    /** The name of the result. */
    val result: String,
    /** True if the next step starts without waiting for the result. */
    val background: Boolean,
    /** True to print the body of the response. */
    val show: Boolean,
)

/** The request of a call. */
internal sealed interface CallSpec {
    /** A completion of [prompt]. */
    data class Complete(
        val prompt: String,
        val tokens: Int,
        val stream: Boolean,
        /** Number of stream events after which the caller disconnects, or null. */
        val leaveAfter: Int? = null,
    ) : CallSpec

    /** A booking; [id] is its idempotency key. */
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

/** The action of a step. */
internal sealed interface Action {
    /** Kills a VM or a backend server. */
    data class Kill(
        val process: String,
    ) : Action

    /** Shuts a VM down gracefully. */
    data class Stop(
        val vm: VmId,
    ) : Action

    /** Starts an additional VM. */
    data class Start(
        val vm: VmId,
        val domain: FailureDomainId,
    ) : Action

    /** Suspends a VM's process. */
    data class Freeze(
        val vm: VmId,
    ) : Action

    data class Resume(
        val vm: VmId,
    ) : Action

    /** Sets the link between two processes; null for [state] restores the initial state. */
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

    /** Creates a caller's key through the administration API and stores it as [name]. */
    data class CreateKey(
        val name: String,
        val workspace: String,
    ) : Action

    data class WithdrawKey(
        val name: String,
    ) : Action

    /** Changes a setting through several VMs concurrently, all expecting the same revision. */
    data class Race(
        val path: String,
        val vms: List<VmId>,
        val body: String,
        val result: String,
    ) : Action

    /** Submits a batch job of wheels; the last [impossible] items are invalid. */
    data class Submit(
        val job: String,
        val items: Int,
        val impossible: Int,
        val options: CallOptions,
    ) : Action

    data class CancelJob(
        val job: String,
    ) : Action

    /** Sends calls at a fixed rate regardless of responses. */
    data class Load(
        val name: String,
        val key: String,
        val ratePerSecond: Double,
        val duration: Duration,
        val tokens: Int,
        val prompts: Int,
        /** True to retry a call that has not run at the next VM. */
        val retry: Boolean,
        val vms: List<VmId>,
    ) : Action

    /** Records the number of requests that each backend server has received. */
    data class Mark(
        val name: String,
    ) : Action

    data class Wait(
        val duration: Duration,
    ) : Action

    /** Fails the scenario unless [check] is met within [within]. */
    data class Expect(
        val check: Check,
        val within: Duration,
    ) : Action
}

/** An expectation of a scenario. */
internal sealed interface Check {
    /** The result of a call has one of [statuses], and the error code and run state if given. */
    data class Result(
        val name: String,
        val statuses: Set<Int>,
        val code: String?,
        val run: String?,
        /** Maximum time until the response head, or null for no limit. */
        val under: Duration?,
    ) : Check

    /** [accepted] results of a race have status 200 and the others are revision conflicts. */
    data class RaceWon(
        val name: String,
        val accepted: Int,
    ) : Check

    /** A result is the complete and correct response to its prompt. */
    data class Whole(
        val name: String,
    ) : Check

    /** Every live VM responds to a completion with [key]: with the error [code], or completely if it is null. */
    data class EachVm(
        val key: String,
        val code: String?,
    ) : Check

    /** No request received by a backend server or the platform contains a key. */
    data object NoKeyInRecords : Check

    data class JobState(
        val job: String,
        val state: String,
    ) : Check

    /** Every item of a job has exactly one result, which is correct. */
    data class EachItemOnce(
        val job: String,
    ) : Check

    data class Counted(
        val quantity: Quantity,
        val comparison: Comparison,
        val number: Long,
    ) : Check

    /** A load exceeded the rate plus the burst in no interval. */
    data class RateLimited(
        val load: String,
        val rate: Double,
        val burst: Int,
    ) : Check

    data class Exit(
        val vm: VmId,
        val status: Int,
    ) : Check

    /** Every live VM applies the latest accepted revision. */
    data object InForce : Check

    /** The entry addresses returned by every live VM contain [included] and not [excluded]. */
    data class Entries(
        val included: Set<String>,
        val excluded: Set<String>,
    ) : Check
}

/** A number that an expectation compares. */
internal sealed interface Quantity {
    data class BookingRuns(
        val id: String,
    ) : Quantity

    /** Number of restarts of an engine caused by overload while cold. */
    data class FallOvers(
        val server: String,
    ) : Quantity

    /** Number of requests running on an engine. */
    data class Running(
        val server: String,
    ) : Quantity

    /** Number of requests that a backend server, or those of a failure domain, received since a mark. */
    data class NewWork(
        val target: String,
        val mark: String,
    ) : Quantity

    /** Number of calls of a load with the outcome `ok`, `refused`, `lost`, `wrong` or an error code. */
    data class LoadCount(
        val load: String,
        val outcome: String,
    ) : Quantity
}

/** A comparison operator. */
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
