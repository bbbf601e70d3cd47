package org.agatestream.core

import kotlin.random.Random

/** VMs, callers, a table and a service that run at-most-once calls, with a fault possible at every step. */
internal class OnceWorld(
    private val random: Random,
) {
    private val table = mutableMapOf<String, Row>()
    private val late = mutableListOf<Transaction>()
    private val vms = MutableList(VM_COUNT) { Vm(VmId("vm$it")) }
    private val listedGone = mutableSetOf<VmId>()
    private var platformDown = false
    private var nextId = 0
    private val runs = mutableMapOf<String, Run>()
    private val ranClaims = mutableSetOf<ClaimId>()
    private val neverRun = mutableSetOf<ClaimId>()
    val trace = ArrayDeque<String>()
    val counts = mutableMapOf<String, Int>()

    fun step() {
        when (random.nextInt(100)) {
            in 0..9 -> {
                newCall()
            }

            in 10..69 -> {
                vms.random(random).let { if (it.calls.isNotEmpty()) advance(it, it.calls.random(random)) }
            }

            in 70..89 -> {
                vms
                    .random(
                        random,
                    ).let { if (it.settlements.isNotEmpty()) settle(it, it.settlements.random(random)) }
            }

            in 90..92 -> {
                crash(random.nextInt(VM_COUNT))
            }

            93 -> {
                platformDown = random.nextInt(4) == 0
            }

            94 -> {
                listedGone.clear()
            }

            else -> {
                late.removeFirstOrNull()?.let { apply(it) }
            }
        }
    }

    private fun newCall() {
        val vm = vms.random(random)
        val key = "once/w/${nextId / CALLS_FOR_KEY}"
        val digest = if (random.nextInt(10) == 0) "other" else "digest"
        val claim = OnceClaim(key, ClaimId("c${nextId++}"), vm.id, digest)
        val (ledger, action) = OnceLedger.begin(claim)
        vm.calls += Call(ledger, action)
    }

    private fun advance(
        vm: Vm,
        call: Call,
    ) {
        val claim = call.ledger.claim
        val input: OnceInput =
            when (val action = call.action) {
                is OnceAction.Commit -> OnceInput.CommitAnswered(commit(action.transaction))
                is OnceAction.ReadRow -> OnceInput.RowRead(read(claim.rowKey))
                is OnceAction.AskHolder -> OnceInput.HolderAnswered(ask(action))
                is OnceAction.Send -> OnceInput.Sent(send(call) ?: return)
                is OnceAction.Answer -> return answer(vm, call, action)
            }
        val next = call.ledger.next(input)
        log("${claim.id}@${vm.id} $input -> ${next.action}")
        call.ledger = next.ledger
        call.action = next.action
    }

    /** Runs the call at the service in one step and returns what came of it in a later one. */
    private fun send(call: Call): SendOutcome? {
        val claim = call.ledger.claim
        call.sent?.let { return it }
        if (random.nextInt(5) == 0) return SendOutcome.NotRun(Failure(ErrorKind.NO_CAPACITY, "refused"))
        val answer = StoredAnswer(201, "text/plain", body = claim.id.value)
        run(claim, answer)
        call.sent = if (random.nextInt(4) == 0) SendOutcome.Lost else SendOutcome.Answered(answer)
        return null
    }

    private fun run(
        claim: OnceClaim,
        answer: StoredAnswer,
    ) {
        val first = runs[claim.rowKey]
        invariant(
            "once-never-second-run",
            first == null,
        ) { "${claim.rowKey} ran as ${first?.claim?.id} and ${claim.id}" }
        invariant("once-not-run-is-true", claim.id !in neverRun) { "${claim.id} runs after it was called not run" }
        runs[claim.rowKey] = Run(claim, answer)
        ranClaims += claim.id
        count("run")
    }

    private fun answer(
        vm: Vm,
        call: Call,
        action: OnceAction.Answer,
    ) {
        vm.calls -= call
        action.settlement?.let { vm.settlements += it }
        val claim = call.ledger.claim
        when (val result = action.result) {
            is OnceResult.Refused -> refused(claim, result.failure.kind)
            is OnceResult.Answered -> answered(claim, result)
        }
    }

    private fun refused(
        claim: OnceClaim,
        kind: ErrorKind,
    ) {
        count(kind.code)
        if (kind.run != RunState.NOT_RUN) return
        neverRun += claim.id
        invariant("once-not-run-is-true", claim.id !in ranClaims) { "${claim.id} ran and is called not run" }
    }

    private fun answered(
        claim: OnceClaim,
        result: OnceResult.Answered,
    ) {
        count(if (result.replayed) "replayed" else "answered")
        val run = checkNotNull(runs[claim.rowKey])
        invariant("once-own-answer", run.answer == result.answer && run.claim.digest == claim.digest) {
            "${claim.id} got the answer of another call"
        }
    }

    private fun settle(
        vm: Vm,
        settlement: OnceSettlement,
    ) {
        val read = settlement.afterRead(read(settlement.claim.rowKey))
        val end = if (read is SettlementAction.Commit) settlement.afterCommit(commit(read.transaction)) else read
        log("settle ${settlement.claim.id}@${vm.id} ${settlement.event} -> $end")
        if (end is SettlementAction.Done) vm.settlements -= settlement
    }

    private fun ask(action: OnceAction.AskHolder): HolderWord {
        if (random.nextInt(10) == 0) return HolderWord.SILENT
        val holder = vms.firstOrNull { it.id == action.vm }
        if (holder == null) return if (action.vm in listedGone) HolderWord.SILENT else HolderWord.LOST
        if (holder.calls.any { it.ledger.claim.id == action.claim }) return HolderWord.ACTIVE
        return holder.settlements.firstOrNull { it.claim.id == action.claim }?.word ?: HolderWord.LOST
    }

    /** Loses a VM with all it knows; it comes back under a new id or, after a restart, under its old one. */
    private fun crash(index: Int) {
        val old = vms[index].id
        val same = random.nextBoolean()
        if (!same) listedGone += old
        vms[index] = Vm(if (same) old else VmId("vm${nextId++}"))
        log("crash $old, now ${vms[index].id}")
        count("crash")
    }

    private fun read(key: String): ReadResult<Row> =
        when {
            platformDown || random.nextInt(20) == 0 -> ReadResult.Unavailable
            else -> table[key]?.let { ReadResult.Found(it) } ?: ReadResult.Absent
        }

    private fun commit(transaction: Transaction): CommitResult {
        if (platformDown) return CommitResult.Unavailable
        return when (random.nextInt(20)) {
            0 -> CommitResult.Unavailable
            1 -> CommitResult.Unknown
            2 -> CommitResult.Unknown.also { late += transaction }
            in 3..5 -> CommitResult.Unknown.also { apply(transaction) }
            else -> apply(transaction)
        }
    }

    private fun apply(transaction: Transaction): CommitResult {
        val failed = transaction.conditions.filter { (table[it.key]?.version ?: RowVersion.ABSENT) != it.version }
        if (failed.isNotEmpty()) {
            return CommitResult.Conflict(failed.map { table[it.key] ?: Row(it.key, "", RowVersion.ABSENT) })
        }
        transaction.writes.forEach { write ->
            val version = RowVersion((table[write.key]?.version ?: RowVersion.ABSENT).value + 1)
            val value = write.value
            if (value == null) table -= write.key else table[write.key] = Row(write.key, value, version)
        }
        return CommitResult.Committed
    }

    private fun log(line: String) {
        trace += line
        if (trace.size > TRACE_LINES) trace.removeFirst()
    }

    private fun count(what: String) {
        counts.merge(what, 1, Int::plus)
    }

    private class Vm(
        val id: VmId,
    ) {
        val calls = mutableListOf<Call>()
        val settlements = mutableListOf<OnceSettlement>()
    }

    private class Call(
        var ledger: OnceLedger,
        var action: OnceAction,
    ) {
        var sent: SendOutcome? = null
    }

    private class Run(
        val claim: OnceClaim,
        val answer: StoredAnswer,
    )

    private companion object {
        const val VM_COUNT = 4
        const val CALLS_FOR_KEY = 8
        const val TRACE_LINES = 60
    }
}
