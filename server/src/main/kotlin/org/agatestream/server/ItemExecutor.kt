package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.ItemDestination
import org.agatestream.core.ItemOutcome
import org.agatestream.core.ItemRef
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.PromptVerdict
import org.agatestream.core.RunOrder
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.ServerEntry
import org.agatestream.core.WorkspaceId
import org.agatestream.http.BodyPart
import org.agatestream.http.BufferBudget
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpClientResponse
import org.agatestream.platform.BackendCall
import org.agatestream.platform.BackendProtocol
import org.agatestream.platform.BackendReply
import org.agatestream.platform.PromptHeader
import org.agatestream.platform.SubmittedItem
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs items at backend servers for the coordinator and stores their results. */
internal class ItemExecutor(
    private val slots: SlotAllocator,
    private val view: PlatformView,
    private val jobs: JobStore,
    private val client: HttpClient,
    private val parts: PromptPartWatch,
    private val scope: CoroutineScope,
    private val report: (ItemReport) -> Unit,
    private val buffers: BufferBudget,
    private val leaving: LeavingServerWatch,
) {
    /** The output of an item, collected over all its runs at this VM. */
    private class Output {
        val data = ArrayList<String>()
        val progress = StreamProgress()
        val lastEvent: Long? get() = progress.lastEvent
        private var chars = 0
        private var restarts = 0

        /** True once the output is longer than any item's; it must be discarded. */
        val isTooLong: Boolean get() = chars > MAX_OUTPUT_CHARS

        /** Appends events that continue the output; returns false and appends none if one does not. */
        fun append(events: List<StreamEvent>): Boolean {
            if (!progress.accept(events)) return false
            events.forEach { event -> event.data()?.let { add(it) } }
            return true
        }

        /** Discards all events, so that the next run starts anew. */
        fun clear() {
            data.clear()
            chars = 0
            progress.startRun(after = null)
        }

        /** Discards all events of this and earlier runs, so that they don't replace those of the next run. */
        fun restart() {
            clear()
            restarts++
        }

        private fun add(text: String) {
            data += text
            chars += text.length
        }

        fun toPartial(): PartialOutput? = lastEvent?.let { PartialOutput(it, data.toList(), restarts) }

        /** Replaces this output by another VM's partial output if that is from a later restart or has more events. */
        fun mergeFrom(partial: PartialOutput) {
            if (partial.restarts < restarts || !partial.replaces(toPartial())) return
            clear()
            restarts = partial.restarts
            partial.data.forEach { add(it) }
            progress.startRun(partial.lastEvent)
        }
    }

    private class ActiveRun(
        val item: ItemRef,
        val job: Job,
    )

    private val running = HashMap<Long, ActiveRun>()
    private val outputs = IdleMap<ItemRef, Output>(OUTPUT_RETENTION)
    private val pendingResults = LinkedHashSet<ItemRef>()

    /** Items that are finished but whose results are not in the store yet. */
    val unlisted: List<ItemRef> get() = pendingResults.toList()

    /** The number of items that run here or whose results are not in the store yet. */
    val unfinished: Int get() = running.size + pendingResults.size

    /** Starts the requested run. */
    fun start(request: RunItemRequest) {
        val order = RunOrder(MonotonicTime.now(), request.manifestVersion)
        slots.onItemStarted(RunningCall(request.number, request.server, request.ref))
        // Two runs would both append to the item's output; only the newest, which the coordinator knows, continues.
        val earlierRuns = running.values.filter { it.item == request.ref }
        // Undispatched, so that a run that is cancelled at once still releases its slot.
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { run(request, order, earlierRuns) }
        running[request.number] = ActiveRun(request.ref, job)
        job.invokeOnCompletion { running -= request.number }
    }

    /** Cancels a run; its output is kept for the next one. */
    fun stop(request: StopItemRequest) {
        running[request.number]?.job?.cancel()
    }

    /** Cancels all runs and reports their outputs, so that they are resumed by other VMs. */
    suspend fun interruptAll() {
        val jobs = running.values.map { it.job }
        jobs.forEach { it.cancel() }
        jobs.joinAll()
    }

    /** Stores an empty result for an item that is given up. */
    fun giveUp(ref: ItemRef) {
        if (!pendingResults.add(ref)) return
        scope.launch { storeResult(0, ref, null) }
    }

    private suspend fun run(
        request: RunItemRequest,
        order: RunOrder,
        earlierRuns: List<ActiveRun>,
    ) {
        var outcome = RunOutcome.STOPPED
        var observer = RunObserver(MonotonicTime.now())
        var end: ItemEnd = ItemEnd.Interrupted("stopped")
        var waited: Duration? = null
        try {
            earlierRuns.forEach { it.job.cancelAndJoin() }
            when (val prepared = prepare(request)) {
                is Prepared.Unable -> {
                    end = prepared.end
                }

                is Prepared.Ready -> {
                    // The wait for the body is not the server's.
                    val sentAt = MonotonicTime.now()
                    waited = order.ageAt(sentAt)
                    observer = RunObserver(sentAt) { report, now -> slots.onServerReport(request.server, report, now) }
                    slots.onSent(request.number, sentAt)
                    end = exchange(request, order, prepared.call, observer) { slots.onFirstEvent(request.number, it) }
                }
            }
            outcome = end.outcome
        } finally {
            withContext(NonCancellable) {
                val detail = observer.detail(MonotonicTime.now())
                slots.releaseItem(request.number, outcome, observer.firstEvent, detail)
                finish(request, end, waited)
                // Another run of the item here has cancelled this one and uses the output.
                if (running.none { (number, it) -> number != request.number && it.item == request.ref }) {
                    outputs.onIdle(request.ref, MonotonicTime.now())
                }
            }
        }
    }

    private fun finish(
        request: RunItemRequest,
        end: ItemEnd,
        waited: Duration?,
    ) {
        val output = outputs[request.ref]
        EventLog.info(
            "item",
            "id" to request.ref,
            "server" to request.server,
            "outcome" to end::class.simpleName,
            "detail" to end.detail,
            "events" to output?.lastEvent,
            "waited" to waited,
        )
        when (end) {
            is ItemEnd.Complete -> {
                report(ItemReport(request.number, request.ref, ItemOutcome.FINISHED))
                val text = output?.data.orEmpty().joinToString("\n")
                if (pendingResults.add(request.ref)) {
                    scope.launch { storeResult(request.number, request.ref, text) }
                }
            }

            is ItemEnd.Impossible -> {
                report(ItemReport(request.number, request.ref, ItemOutcome.FINISHED))
                if (pendingResults.add(request.ref)) {
                    scope.launch { storeResult(request.number, request.ref, null) }
                }
            }

            is ItemEnd.Failed -> {
                report(ItemReport(request.number, request.ref, ItemOutcome.FAILED))
            }

            is ItemEnd.Withheld -> {
                report(ItemReport(request.number, request.ref, ItemOutcome.WITHHELD))
            }

            is ItemEnd.NothingLeft, is ItemEnd.Interrupted -> {
                report(ItemReport(request.number, request.ref, ItemOutcome.INTERRUPTED, output?.toPartial()))
            }
        }
    }

    private suspend fun storeResult(
        number: Long,
        ref: ItemRef,
        text: String?,
    ) {
        jobs.appendResult(ref, text)
        pendingResults -= ref
        outputs -= ref
        EventLog.info("item_listed", "id" to ref, "completed" to (text != null))
        report(ItemReport(number, ref, ItemOutcome.LISTED))
    }

    /** An item that can be sent to a server, or the reason why its run ends without that. */
    private sealed interface Prepared {
        class Ready(
            val call: BackendCall,
        ) : Prepared

        class Unable(
            val end: ItemEnd,
        ) : Prepared
    }

    /** Waits for the body of the item, which may have to be read from the store; the read outlasts the wait. */
    private suspend fun prepare(request: RunItemRequest): Prepared {
        val items = withTimeoutOrNull(MAX_BODY_WAIT) { jobs.items(request.ref.job) }
        val item =
            when (items) {
                null -> return unable("bodies_pending")
                is Outcome.Ok -> items.value[request.ref.item] ?: return Prepared.Unable(NO_SUCH_ITEM)
                is Outcome.Failed -> return unable("bodies_unavailable: ${items.failure.message}")
            }
        return when (val row = jobs.find(request.ref.job)) {
            is Outcome.Ok -> Prepared.Ready(toBackendCall(item, row.value.host, request.ref.job.workspace))
            is Outcome.Failed -> unable("job_unavailable: ${row.failure.message}")
        }
    }

    private fun unable(reason: String): Prepared = Prepared.Unable(ItemEnd.Interrupted(reason))

    private suspend fun exchange(
        request: RunItemRequest,
        order: RunOrder,
        call: BackendCall,
        observer: RunObserver,
        onFirst: (MonotonicTime) -> Unit,
    ): ItemEnd {
        val output = outputs.use(request.ref) { Output() }
        request.partial?.let { output.mergeFrom(it) }
        val end = exchange(request, order, call, output, observer, onFirst)
        if (end !is ItemEnd.NothingLeft) return end
        // Only a run from the start shows where the output ends.
        EventLog.info(
            "item_restarted",
            "id" to request.ref,
            "server" to request.server,
            "events" to output.lastEvent,
        )
        output.restart()
        return exchange(request, order, call, output, observer, onFirst)
    }

    /** Sends [call] once, to continue [output]. */
    private suspend fun exchange(
        request: RunItemRequest,
        order: RunOrder,
        call: BackendCall,
        output: Output,
        observer: RunObserver,
        onFirst: (MonotonicTime) -> Unit,
    ): ItemEnd {
        val server = view.registry.usable(request.server)?.entry
        if (server == null) {
            delay(UNUSABLE_DELAY)
            return ItemEnd.Interrupted("server_not_usable")
        }
        val shared = PromptHeader.sharedParts(call.headers)
        val sentAt = MonotonicTime.now()
        val destination = ItemDestination(call.host, call.target, server.service)
        order.faultAt(sentAt, view.manifest, destination)?.let {
            return ItemEnd.Interrupted("order_${it.name.lowercase()}")
        }
        if (parts.judge(shared, sentAt) is PromptVerdict.Condemned) return ItemEnd.Withheld
        slots.onItemParts(request.number, shared, PromptHeader.shape(call.headers).totalTokens)
        output.progress.startRun()
        val spec = BackendProtocol.request(call, server.id, server.address, RUN_TIMEOUT, output.lastEvent, IDLE_TIMEOUT)
        var answered: HttpClientResponse? = null
        val result =
            withTimeoutOrNull(RUN_TIMEOUT) {
                client.exchange(spec).also { answered = (it as? ExchangeResult.Answered)?.response }
            }
        // The response may have arrived as the time ran out.
        if (result == null) answered?.close()
        val end =
            when (result) {
                null -> ItemEnd.Interrupted("silent", RunOutcome.LOST)
                is ExchangeResult.NotSent -> ItemEnd.Interrupted(result.reason, RunOutcome.UNREACHABLE)
                is ExchangeResult.Lost -> ItemEnd.Interrupted(result.reason, RunOutcome.LOST)
                is ExchangeResult.Answered -> readResponse(server, result.response, output, observer, onFirst)
            }
        if (end.outcome == RunOutcome.LOST) slots.onLost(request.number, server, sentAt)
        return end
    }

    private fun toBackendCall(
        item: SubmittedItem,
        host: String,
        workspace: WorkspaceId?,
    ): BackendCall = BackendCall(item.id.value, "POST", item.path, host, item.headers, item.body, workspace)

    private suspend fun readResponse(
        server: ServerEntry,
        response: HttpClientResponse,
        output: Output,
        observer: RunObserver,
        onFirst: (MonotonicTime) -> Unit,
    ): ItemEnd {
        try {
            val reply = BackendProtocol.read(response)
            val now = MonotonicTime.now()
            observer.onHead(reply, leaving.onHead(server, response, reply, now), now)
            return when (reply) {
                is BackendReply.NotRun -> {
                    response.discardBody()
                    ItemEnd.Interrupted(reply.reason, RunOutcome.NOT_RUN)
                }

                is BackendReply.Unproven -> {
                    ItemEnd.Interrupted(reply.reason, RunOutcome.LOST)
                }

                is BackendReply.Ran -> {
                    when (reply.status) {
                        STATUS_OK -> {
                            readEvents(response, output, observer, onFirst)
                        }

                        STATUS_UNPROCESSABLE -> {
                            response.discardBody()
                            ItemEnd.Impossible("status ${reply.status}")
                        }

                        STATUS_FAILED -> {
                            response.discardBody()
                            ItemEnd.Failed("status ${reply.status}")
                        }

                        else -> {
                            ItemEnd.Interrupted("status ${reply.status}", RunOutcome.ANSWERED)
                        }
                    }
                }
            }
        } finally {
            response.close()
        }
    }

    private suspend fun readEvents(
        response: HttpClientResponse,
        output: Output,
        observer: RunObserver,
        onFirst: (MonotonicTime) -> Unit,
    ): ItemEnd = EventSplitter(buffers).use { collectEvents(response, it, output, observer, onFirst) }

    private suspend fun collectEvents(
        response: HttpClientResponse,
        splitter: EventSplitter,
        output: Output,
        observer: RunObserver,
        onFirst: (MonotonicTime) -> Unit,
    ): ItemEnd {
        var isFirst = true
        // A server that sends comments, or an event byte by byte, makes no progress.
        var idleDeadline = MonotonicTime.now() + IDLE_TIMEOUT
        while (coroutineContext.isActive) {
            val part = withTimeoutOrNull(idleDeadline - MonotonicTime.now()) { response.nextChunk() }
            when (part) {
                null -> {
                    return ItemEnd.Interrupted("silent", RunOutcome.LOST)
                }

                is BodyPart.Chunk -> {
                    val events = splitter.feed(part.bytes)
                    if (events.isNotEmpty()) {
                        val now = MonotonicTime.now()
                        observer.onEvents(now)
                        if (isFirst) onFirst(now)
                        isFirst = false
                    }
                    if (splitter.isEventTooLong) return ItemEnd.Interrupted("event too long", RunOutcome.LOST)
                    if (!output.append(events)) return ItemEnd.Interrupted("event out of order", RunOutcome.LOST)
                    if (output.isTooLong) return discardOutput(output)
                    if (events.any { it.data() != null }) idleDeadline = MonotonicTime.now() + IDLE_TIMEOUT
                }

                is BodyPart.End -> {
                    val fault = output.progress.faultAtEnd(splitter.remainder) ?: return ItemEnd.Complete
                    if (fault == StreamFault.NO_EVENT && output.lastEvent != null) return ItemEnd.NothingLeft
                    return ItemEnd.Interrupted(fault.reason, RunOutcome.LOST)
                }

                is BodyPart.Broken -> {
                    return ItemEnd.Interrupted(part.reason, RunOutcome.LOST)
                }
            }
        }
        return ItemEnd.Interrupted("stopped")
    }

    private fun discardOutput(output: Output): ItemEnd {
        output.clear()
        return ItemEnd.Interrupted("output too long", RunOutcome.LOST)
    }

    /** The outcome of one run of an item. */
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

        /** The item was not run, as its prompt would end the server. */
        data object Withheld : ItemEnd {
            override val detail: String get() = "prompt_refused"
            override val outcome: RunOutcome get() = RunOutcome.STOPPED
        }

        /** A run that continues the output had no event: the output is whole, or the server failed before the next. */
        data object NothingLeft : ItemEnd {
            override val detail: String get() = "nothing left"
            override val outcome: RunOutcome get() = RunOutcome.LOST
        }

        data class Interrupted(
            override val detail: String,
            override val outcome: RunOutcome = RunOutcome.STOPPED,
        ) : ItemEnd
    }

    private companion object {
        val NO_SUCH_ITEM = ItemEnd.Impossible("no such item")
        const val STATUS_OK = 200
        const val STATUS_UNPROCESSABLE = 422
        const val STATUS_FAILED = 500

        // Ten times the longest output in the users' specification; more is no output but a server in trouble.
        const val MAX_OUTPUT_CHARS = 1 shl 20

        // The job's completion target bounds items, not the route's timeout; a run takes about 5 s.
        val RUN_TIMEOUT = 60.seconds

        // A run that waits holds a slot that others could use; its item may go to a VM that has the body.
        val MAX_BODY_WAIT = 5.seconds

        // The coordinator has the output, too, and may have another VM go on; items are due within 18 s.
        val OUTPUT_RETENTION = 30.seconds

        // A coordinator that does not know that the server is leaving would assign it again at once, without an end.
        val UNUSABLE_DELAY = 50.milliseconds

        // Five times the longest pause between events that the users' specification allows; also the longest time for
        // which no byte of the item may move on its way to the server.
        val IDLE_TIMEOUT = 2.seconds
    }
}
