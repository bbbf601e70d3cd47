package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.ItemOutcome
import org.agatestream.core.ItemRef
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.WorkspaceId
import org.agatestream.http.BodyPart
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpAnswer
import org.agatestream.http.HttpClient
import org.agatestream.http.readBody
import org.agatestream.platform.BackendCall
import org.agatestream.platform.BackendProtocol
import org.agatestream.platform.BackendReply
import org.agatestream.platform.SubmittedItem
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs items at backend servers for the coordinator, and lists their results. */
internal class ItemRuns(
    private val placer: Placer,
    private val view: PlatformView,
    private val jobs: JobStore,
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val report: (ItemAsk) -> Unit,
) {
    /** The events that an item's runs have brought so far. */
    private class Output {
        val data = ArrayList<String>()
        var lastEvent: Long? = null

        fun toPartial(): PartialOutput? = lastEvent?.let { PartialOutput(it, data.toList()) }

        /** Takes over what another VM got, if that is more. */
        fun catchUp(partial: PartialOutput) {
            if (partial.lastEvent <= (lastEvent ?: -1)) return
            data.clear()
            data += partial.data
            lastEvent = partial.lastEvent
        }
    }

    private class ActiveRun(
        val item: ItemRef,
        val job: Job,
    )

    private val running = HashMap<Long, ActiveRun>()
    private val outputs = HashMap<ItemRef, Output>()
    private val listing = LinkedHashSet<ItemRef>()

    /** Items whose output is whole and not in the store yet. */
    val unlisted: List<ItemRef> get() = listing.toList()

    /** Starts the run that [ask] names. */
    fun start(ask: RunItemAsk) {
        placer.onItemStarted(RunningCall(ask.number, ask.server, ask.item))
        // Two runs of an item would both add to its output; the one that the coordinator knows goes on.
        val earlier = running.values.filter { it.item == ask.item }
        // Undispatched, so that a run that is stopped at once still frees its slot.
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { run(ask, earlier) }
        running[ask.number] = ActiveRun(ask.item, job)
        job.invokeOnCompletion { running -= ask.number }
    }

    /** Ends a run; what it brought is kept for the next one. */
    fun stop(ask: StopItemAsk) {
        running[ask.number]?.job?.cancel()
    }

    /** Lists an item that is given up. */
    fun giveUp(
        ref: ItemRef,
        workspace: WorkspaceId?,
    ) {
        if (!listing.add(ref)) return
        scope.launch { list(0, ref, workspace, null) }
    }

    private suspend fun run(
        ask: RunItemAsk,
        earlier: List<ActiveRun>,
    ) {
        var outcome = RunOutcome.STOPPED
        var firstEvent: Duration? = null
        var end: ItemEnd = ItemEnd.Interrupted("stopped")
        try {
            earlier.forEach { it.job.cancelAndJoin() }
            val startedAt = MonotonicTime.now()
            placer.onSent(ask.number, startedAt)
            end =
                exchange(ask) {
                    firstEvent = MonotonicTime.now() - startedAt
                    placer.onBegun(ask.number)
                }
            outcome = end.outcome
        } finally {
            withContext(NonCancellable) {
                placer.releaseItem(ask.number, outcome, firstEvent)
                finish(ask, end)
            }
        }
    }

    private fun finish(
        ask: RunItemAsk,
        end: ItemEnd,
    ) {
        val output = outputs[ask.item]
        EventLog.info(
            "item",
            "id" to ask.item,
            "server" to ask.server,
            "outcome" to end::class.simpleName,
            "detail" to end.detail,
            "events" to output?.lastEvent,
        )
        when (end) {
            is ItemEnd.Complete -> {
                report(ItemAsk(ask.number, ask.item, ItemOutcome.FINISHED))
                val text = output?.data.orEmpty().joinToString("\n")
                if (listing.add(ask.item)) scope.launch { list(ask.number, ask.item, ask.workspace, text) }
            }

            is ItemEnd.Impossible -> {
                report(ItemAsk(ask.number, ask.item, ItemOutcome.FINISHED))
                if (listing.add(ask.item)) scope.launch { list(ask.number, ask.item, ask.workspace, null) }
            }

            is ItemEnd.Failed -> {
                report(ItemAsk(ask.number, ask.item, ItemOutcome.FAILED))
            }

            is ItemEnd.Interrupted -> {
                report(ItemAsk(ask.number, ask.item, ItemOutcome.INTERRUPTED, output?.toPartial()))
            }
        }
    }

    private suspend fun list(
        number: Long,
        ref: ItemRef,
        workspace: WorkspaceId?,
        text: String?,
    ) {
        jobs.list(workspace, ref, text)
        listing -= ref
        outputs -= ref
        EventLog.info("item_listed", "id" to ref, "completed" to (text != null))
        report(ItemAsk(number, ref, ItemOutcome.LISTED))
    }

    private suspend fun exchange(
        ask: RunItemAsk,
        onFirst: () -> Unit,
    ): ItemEnd {
        val server = view.registry.usable(ask.server)?.entry ?: return ItemEnd.Interrupted("server_not_usable")
        val item =
            when (val items = jobs.items(ask.workspace, ask.item.job)) {
                is Outcome.Ok -> items.value[ask.item.item] ?: return ItemEnd.Impossible("no such item")
                is Outcome.Failed -> return ItemEnd.Interrupted("bodies_unavailable")
            }
        val host =
            when (val row = jobs.find(ask.workspace, ask.item.job)) {
                is Outcome.Ok -> row.value.host
                is Outcome.Failed -> return ItemEnd.Interrupted("job_unavailable")
            }
        val output = outputs.getOrPut(ask.item) { Output() }
        ask.partial?.let { output.catchUp(it) }
        val call = toCall(item, host, ask.workspace)
        val spec = BackendProtocol.request(call, server.id, server.address, RUN_LIMIT, output.lastEvent)
        val result = withTimeoutOrNull(SILENCE_LIMIT) { client.exchange(spec) }
        return when (result) {
            null -> ItemEnd.Interrupted("silent", RunOutcome.LOST)
            is ExchangeResult.NotSent -> ItemEnd.Interrupted(result.reason, RunOutcome.UNREACHABLE)
            is ExchangeResult.Lost -> ItemEnd.Interrupted(result.reason, RunOutcome.LOST)
            is ExchangeResult.Answered -> readAnswer(result.answer, output, onFirst)
        }
    }

    private fun toCall(
        item: SubmittedItem,
        host: String,
        workspace: WorkspaceId?,
    ): BackendCall = BackendCall(item.id.value, "POST", item.path, host, item.headers, item.body, workspace)

    private suspend fun readAnswer(
        answer: HttpAnswer,
        output: Output,
        onFirst: () -> Unit,
    ): ItemEnd {
        try {
            return when (val reply = BackendProtocol.read(answer)) {
                is BackendReply.NotRun -> {
                    answer.readBody(MAX_ERROR_BYTES)
                    ItemEnd.Interrupted(reply.reason, RunOutcome.NOT_RUN)
                }

                is BackendReply.Ran -> {
                    when (reply.status) {
                        STATUS_OK -> {
                            readEvents(answer, output, onFirst)
                        }

                        STATUS_IMPOSSIBLE -> {
                            answer.readBody(MAX_ERROR_BYTES)
                            ItemEnd.Impossible("status ${reply.status}")
                        }

                        STATUS_FAILED -> {
                            answer.readBody(MAX_ERROR_BYTES)
                            ItemEnd.Failed("status ${reply.status}")
                        }

                        else -> {
                            ItemEnd.Interrupted("status ${reply.status}", RunOutcome.ANSWERED)
                        }
                    }
                }
            }
        } finally {
            answer.close()
        }
    }

    private suspend fun readEvents(
        answer: HttpAnswer,
        output: Output,
        onFirst: () -> Unit,
    ): ItemEnd {
        val cutter = EventCutter()
        var isFirst = true
        while (coroutineContext.isActive) {
            val part = withTimeoutOrNull(SILENCE_LIMIT) { answer.nextChunk() }
            when (part) {
                null -> {
                    return ItemEnd.Interrupted("silent", RunOutcome.LOST)
                }

                is BodyPart.Chunk -> {
                    val events = cutter.feed(part.bytes)
                    if (events.isNotEmpty() && isFirst) {
                        onFirst()
                        isFirst = false
                    }
                    if (cutter.isOverlong) return ItemEnd.Interrupted("event too long", RunOutcome.LOST)
                    if (!output.take(events)) return ItemEnd.Interrupted("event out of order", RunOutcome.LOST)
                }

                is BodyPart.End -> {
                    val isWhole = cutter.remainder.isEmpty()
                    return if (isWhole) {
                        ItemEnd.Complete
                    } else {
                        ItemEnd.Interrupted(
                            "ended within an event",
                            RunOutcome.LOST,
                        )
                    }
                }

                is BodyPart.Broken -> {
                    return ItemEnd.Interrupted(part.reason, RunOutcome.LOST)
                }
            }
        }
        return ItemEnd.Interrupted("stopped")
    }

    private fun Output.take(events: List<StreamEvent>): Boolean {
        for (event in events) {
            if (!event.follows(lastEvent)) return false
            lastEvent = event.id ?: lastEvent
            event.data()?.let { data += it }
        }
        return true
    }

    /** How one run of an item ended. */
    private sealed interface ItemEnd {
        val detail: String
        val outcome: RunOutcome

        data object Complete : ItemEnd {
            override val detail: String get() = "whole"
            override val outcome: RunOutcome get() = RunOutcome.ANSWERED
        }

        data class Impossible(
            override val detail: String,
        ) : ItemEnd {
            override val outcome: RunOutcome get() = RunOutcome.ANSWERED
        }

        data class Failed(
            override val detail: String,
        ) : ItemEnd {
            override val outcome: RunOutcome get() = RunOutcome.ANSWERED
        }

        data class Interrupted(
            override val detail: String,
            override val outcome: RunOutcome = RunOutcome.STOPPED,
        ) : ItemEnd
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_IMPOSSIBLE = 422
        const val STATUS_FAILED = 500
        const val MAX_ERROR_BYTES = 64 * 1024

        // Items are bound by their job's time, not by the route's time limit; a run takes about 5 s.
        val RUN_LIMIT = 60.seconds

        // Five times the longest pause between events that the sheets allow.
        val SILENCE_LIMIT = 2.seconds
    }
}
