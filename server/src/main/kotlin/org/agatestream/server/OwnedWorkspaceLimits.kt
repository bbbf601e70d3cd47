package org.agatestream.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.agatestream.core.AdmissionAttempt
import org.agatestream.core.AdmissionMemory
import org.agatestream.core.AdmissionStep
import org.agatestream.core.ErrorKind
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.ShareOwner
import org.agatestream.core.TokenGrant
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.core.WorkspaceSetting
import org.agatestream.core.nextAdmissionStep
import org.agatestream.core.shareCount
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.core.toTake
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Admits requests by tokens from the VMs that own the shares of a workspace's rate. */
public class OwnedWorkspaceLimits(
    private val context: LimitContext,
) : WorkspaceLimits {
    private val times = context.times.admission
    private val entries = ConcurrentHashMap<WorkspaceId, Entry>()
    private val gatherers = ConcurrentHashMap<VmId, TakeGatherer>()
    private val salts = AtomicInteger(context.self.value.hashCode())
    private val asks = context.registry.counter("agatestream.limit.asks", "kind", "tokens")

    override suspend fun admit(
        workspace: WorkspaceId,
        deadline: MonotonicTime,
    ): Outcome<Unit> {
        val setting =
            context.fleet().workspaces[workspace]?.setting
                ?: return ErrorKind.LIMIT_UNAVAILABLE.toFailed("the workspace is not known on this VM")
        val entry = entries.computeIfAbsent(workspace) { Entry() }
        if (entry.arrive(context.now())) return Unit.toOk()
        return admit(workspace, setting, entry, deadline)
    }

    private suspend fun admit(
        workspace: WorkspaceId,
        setting: WorkspaceSetting,
        entry: Entry,
        deadline: MonotonicTime,
    ): Outcome<Unit> {
        val giveUpAt = minOf(deadline, context.now() + times.giveUp)
        var attempt = AdmissionAttempt(salts.getAndIncrement(), giveUpAt)
        while (true) {
            val now = context.now()
            when (val step = nextAdmissionStep(ownersOf(workspace, setting), entry.memory, attempt, times, now)) {
                is AdmissionStep.Refuse -> {
                    return step.toOutcome()
                }

                is AdmissionStep.Wait -> {
                    delay((step.at - now).coerceAtLeast(LEAST_PAUSE))
                }

                is AdmissionStep.Ask -> {
                    when (val result = ask(workspace, entry, step)) {
                        is TakeResult.Granted -> if (result.counts()) return Unit.toOk()
                        TakeResult.Empty -> attempt = attempt.refused(step.owner, step.maxWait)
                        TakeResult.Silent -> Unit
                    }
                }
            }
        }
    }

    /** Waits until the token counts; returns false if this VM was paused meanwhile and the token has lapsed. */
    private suspend fun TakeResult.Granted.counts(): Boolean {
        if (wait > Duration.ZERO) delay(wait)
        return context.now() <= lapsesAt
    }

    private fun ownersOf(
        workspace: WorkspaceId,
        setting: WorkspaceSetting,
    ): List<ShareOwner> =
        context.rights
            .owners(workspace.toLimitKey(), setting.shareCount())
            .mapIndexed { share, vm -> ShareOwner(share, vm) }

    private fun AdmissionStep.Refuse.toOutcome(): Outcome<Unit> {
        val text =
            if (kind == ErrorKind.RATE_EXCEEDED) {
                "the workspace is over its rate"
            } else {
                "no owner of the rate answered"
            }
        return kind.toFailed(text, retryAfter)
    }

    private suspend fun ask(
        workspace: WorkspaceId,
        entry: Entry,
        step: AdmissionStep.Ask,
    ): TakeResult {
        val queued = QueuedTake(workspace, step, entry)
        gatherers.computeIfAbsent(step.owner.vm) { TakeGatherer(it) }.add(queued)
        return queued.result.await()
    }

    private class Entry {
        @Volatile
        var memory = AdmissionMemory()
            private set

        @Synchronized
        fun arrive(now: MonotonicTime): Boolean {
            val (next, hadToken) = memory.arrive(now)
            memory = next
            return hadToken
        }

        @Synchronized
        fun update(change: (AdmissionMemory) -> AdmissionMemory) {
            memory = change(memory)
        }
    }

    private class QueuedTake(
        val workspace: WorkspaceId,
        val step: AdmissionStep.Ask,
        val entry: Entry,
    ) {
        val result = CompletableDeferred<TakeResult>()
    }

    /** Gathers the takes that arrive while an ask to [owner] is in flight, and sends them together. */
    private inner class TakeGatherer(
        private val owner: VmId,
    ) {
        private val waiting = ArrayList<QueuedTake>()
        private var inFlight = false

        fun add(take: QueuedTake) {
            synchronized(this) {
                waiting += take
                if (inFlight) return
                inFlight = true
            }
            context.scope.launch { sendAll() }
        }

        private suspend fun sendAll() {
            while (true) {
                val batch =
                    synchronized(this) {
                        if (waiting.isEmpty()) {
                            inFlight = false
                            return
                        }
                        waiting.toList().also { waiting.clear() }
                    }
                send(batch)
            }
        }

        private suspend fun send(batch: List<QueuedTake>) {
            val groups = batch.groupBy { Triple(it.workspace, it.step.owner, it.step.maxWait) }.values.toList()
            val sentAt = context.now()
            asks.increment()
            val answer = context.peers.ask(owner, TokenAsk(groups.map { it.toMessage(sentAt) }), times.askTimeout)
            val now = context.now()
            // A late answer may come from an owner that lost its share meanwhile.
            val grants = (answer as? TokenAnswer)?.grants?.takeIf { now - sentAt <= times.askTimeout }
            groups.forEachIndexed { i, group -> group.deliver(grants?.getOrNull(i), sentAt, now) }
        }

        private fun List<QueuedTake>.toMessage(now: MonotonicTime): WorkspaceTake {
            val first = first()
            return first.entry.memory
                .toTake(
                    size,
                    first.step.maxWait,
                    times,
                    now,
                ).toMessage(first.workspace, first.step.owner.share)
        }

        private fun List<QueuedTake>.deliver(
            message: WorkspaceGrant?,
            sentAt: MonotonicTime,
            now: MonotonicTime,
        ) {
            val first = first()
            if (message == null || !message.isOwner) {
                first.entry.update { it.silent(first.step.owner, times, now) }
                forEach { it.result.complete(TakeResult.Silent) }
                return
            }
            val grant = message.toGrant()
            first.entry.update { it.answered(first.step.owner, grant, sentAt, times, now) }
            forEachIndexed { i, take ->
                val result = if (i < grant.granted) grant.tokenAt(i, sentAt) else TakeResult.Empty
                take.result.complete(result)
            }
        }
    }

    private fun TokenGrant.tokenAt(
        index: Int,
        sentAt: MonotonicTime,
    ) = TakeResult.Granted(waitOf(index), lapseOf(index, sentAt, times.askTimeout))

    /** What an ask brought for one request. */
    private sealed interface TakeResult {
        class Granted(
            val wait: Duration,
            val lapsesAt: MonotonicTime,
        ) : TakeResult

        data object Empty : TakeResult

        /** The owner did not answer in time or owns the share no more. */
        data object Silent : TakeResult
    }

    private companion object {
        val LEAST_PAUSE: Duration = 5.milliseconds
    }
}
