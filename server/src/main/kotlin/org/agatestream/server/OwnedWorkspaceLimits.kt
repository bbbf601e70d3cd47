package org.agatestream.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.agatestream.core.AdmissionAttempt
import org.agatestream.core.AdmissionState
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
import org.agatestream.core.toTokenRequest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Admits requests with tokens granted by the VMs that own the shares of a workspace's rate. */
public class OwnedWorkspaceLimits(
    private val context: LimitContext,
) : WorkspaceLimits {
    private val times = context.times.admission
    private val states = ConcurrentHashMap<WorkspaceId, WorkspaceState>()
    private val batchers = ConcurrentHashMap<VmId, TokenRequestBatcher>()
    private val salts = AtomicInteger(context.self.value.hashCode())
    private val requestCounter = context.registry.counter("agatestream.limit.asks", "kind", "tokens")

    override suspend fun admit(
        workspace: WorkspaceId,
        deadline: MonotonicTime,
    ): Outcome<Unit> {
        val setting =
            context.fleet().workspaces[workspace]?.setting
                ?: return ErrorKind.LIMIT_UNAVAILABLE.toFailed("the workspace is not known on this VM")
        val state = states.computeIfAbsent(workspace) { WorkspaceState() }
        if (state.onArrival(context.now())) return Unit.toOk()
        return admit(workspace, setting, state, deadline)
    }

    private suspend fun admit(
        workspace: WorkspaceId,
        setting: WorkspaceSetting,
        state: WorkspaceState,
        deadline: MonotonicTime,
    ): Outcome<Unit> {
        val giveUpAt = minOf(deadline, context.now() + times.giveUpAfter)
        var attempt = AdmissionAttempt(salts.getAndIncrement(), giveUpAt)
        while (true) {
            val now = context.now()
            when (val step = nextAdmissionStep(ownersOf(workspace, setting), state.admission, attempt, times, now)) {
                is AdmissionStep.Refuse -> {
                    return step.toOutcome()
                }

                is AdmissionStep.Wait -> {
                    delay((step.at - now).coerceAtLeast(MIN_DELAY))
                }

                is AdmissionStep.RequestToken -> {
                    when (val result = requestToken(workspace, state, step)) {
                        is RequestResult.Granted -> if (result.awaitUsable()) return Unit.toOk()
                        RequestResult.Refused -> attempt = attempt.onRefusal(step.owner, step.maxWait)
                        RequestResult.Unanswered -> Unit
                    }
                }
            }
        }
    }

    /** Waits until the token is usable; returns false if it has expired, as after a pause of this process. */
    private suspend fun RequestResult.Granted.awaitUsable(): Boolean {
        if (wait > Duration.ZERO) delay(wait)
        return context.now() <= expiresAt
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

    private suspend fun requestToken(
        workspace: WorkspaceId,
        state: WorkspaceState,
        step: AdmissionStep.RequestToken,
    ): RequestResult {
        val queued = QueuedRequest(workspace, step, state)
        batchers.computeIfAbsent(step.owner.vm) { TokenRequestBatcher(it) }.add(queued)
        return queued.result.await()
    }

    private class WorkspaceState {
        @Volatile
        var admission = AdmissionState()
            private set

        @Synchronized
        fun onArrival(now: MonotonicTime): Boolean {
            val (next, hadToken) = admission.onArrival(now)
            admission = next
            return hadToken
        }

        @Synchronized
        fun update(change: (AdmissionState) -> AdmissionState) {
            admission = change(admission)
        }
    }

    private class QueuedRequest(
        val workspace: WorkspaceId,
        val step: AdmissionStep.RequestToken,
        val state: WorkspaceState,
    ) {
        val result = CompletableDeferred<RequestResult>()
    }

    /** Batches the requests that arrive while a message to [owner] is in flight. */
    private inner class TokenRequestBatcher(
        private val owner: VmId,
    ) {
        private val waiting = ArrayList<QueuedRequest>()
        private var inFlight = false

        fun add(request: QueuedRequest) {
            synchronized(this) {
                waiting += request
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

        private suspend fun send(batch: List<QueuedRequest>) {
            val groups = batch.groupBy { Triple(it.workspace, it.step.owner, it.step.maxWait) }.values.toList()
            val sentAt = context.now()
            requestCounter.increment()
            val response =
                context.peers.call(
                    owner,
                    TokenGrantRequest(groups.map { it.toMessage(sentAt) }),
                    times.requestTimeout,
                )
            val now = context.now()
            // A late response may come from an owner that has lost its share since.
            val grants = (response as? TokenGrantResponse)?.grants?.takeIf { now - sentAt <= times.requestTimeout }
            groups.forEachIndexed { i, group -> group.deliver(grants?.getOrNull(i), sentAt, now) }
        }

        private fun List<QueuedRequest>.toMessage(now: MonotonicTime): WorkspaceTokenRequest {
            val first = first()
            return first.state.admission
                .toTokenRequest(
                    size,
                    first.step.maxWait,
                    times,
                    now,
                ).toMessage(first.workspace, first.step.owner.share)
        }

        private fun List<QueuedRequest>.deliver(
            message: WorkspaceTokenGrant?,
            sentAt: MonotonicTime,
            now: MonotonicTime,
        ) {
            val first = first()
            if (message == null || !message.isOwner) {
                first.state.update { it.onNoResponse(first.step.owner, times, now) }
                forEach { it.result.complete(RequestResult.Unanswered) }
                return
            }
            val grant = message.toGrant()
            first.state.update { it.onGrant(first.step.owner, grant, sentAt, times, now) }
            forEachIndexed { i, request ->
                val result = if (i < grant.granted) grant.tokenAt(i, sentAt) else RequestResult.Refused
                request.result.complete(result)
            }
        }
    }

    private fun TokenGrant.tokenAt(
        index: Int,
        sentAt: MonotonicTime,
    ) = RequestResult.Granted(waitOf(index), expiryOf(index, sentAt, times.requestTimeout))

    /** The result of a token request for one admission. */
    private sealed interface RequestResult {
        class Granted(
            val wait: Duration,
            val expiresAt: MonotonicTime,
        ) : RequestResult

        data object Refused : RequestResult

        /** The owner did not respond in time or no longer owns the share. */
        data object Unanswered : RequestResult
    }

    private companion object {
        val MIN_DELAY: Duration = 5.milliseconds
    }
}
