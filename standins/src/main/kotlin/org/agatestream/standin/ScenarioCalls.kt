package org.agatestream.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A call of a scenario and its result. */
internal data class CallRecord(
    val spec: CallSpec,
    val result: CallResult,
)

/** A submitted batch job. */
internal data class SubmittedJob(
    val id: String,
    val key: String,
    val items: WheelItems,
)

/** Makes the calls of a scenario and stores keys, jobs and results by name. */
internal class ScenarioCalls(
    private val fleet: Fleet,
    private val scope: CoroutineScope,
) {
    private val http = ScenarioCaller()
    private val nextVm = AtomicInteger()
    private val results = ConcurrentHashMap<String, Deferred<CallRecord>>()
    private val races = ConcurrentHashMap<String, List<CallResult>>()
    private val loads = ConcurrentHashMap<String, Deferred<LoadRun>>()
    private val jobs = ConcurrentHashMap<String, SubmittedJob>()
    private val latestRevision = AtomicLong()
    private val keyPaths = ConcurrentHashMap<String, String>()
    private val keys = ConcurrentHashMap(mapOf(OPERATOR to Fleet.OPERATOR_KEY))

    /** All keys, withdrawn ones included. */
    val allKeys: Collection<String> get() = keys.values

    /** The latest revision created by an accepted change. */
    val revision: Long get() = latestRevision.get()

    suspend fun result(name: String): CallRecord =
        results[name]?.await() ?: throw ScenarioFailure("there is no result $name")

    fun race(name: String): List<CallResult> = races[name] ?: throw ScenarioFailure("there is no race $name")

    suspend fun load(name: String): LoadRun = loads[name]?.await() ?: throw ScenarioFailure("there is no load $name")

    fun job(name: String): SubmittedJob = jobs[name] ?: throw ScenarioFailure("there is no job $name")

    /** Makes a call and returns the text to print. */
    suspend fun call(action: Action.Call): String {
        val options = action.options
        val made = scope.async { CallRecord(action.spec, send(action.spec, options.key, options.via)) }
        results[options.result] = made
        if (options.background) return "started"
        val result = made.await().result
        if (options.key == OPERATOR) recordRevision(result)
        return if (options.show) "$result\n${result.body.trim()}" else "$result"
    }

    suspend fun createKey(action: Action.CreateKey): String {
        val team = teamOf(action.workspace)
        val path = "/teams/$team/keys/${action.name}"
        val body = """{"path":"$path","workspace":"${action.workspace}"}"""
        val result = sendUntilAccepted(CallSpec.Plain("POST", "/admin/v1/keys", body))
        keyPaths[action.name] = path
        keys[action.name] = field(result, "key")?.content ?: throw ScenarioFailure("no key in the response: $result")
        return "$result"
    }

    suspend fun withdrawKey(action: Action.WithdrawKey): String {
        val path = keyPaths[action.name] ?: throw ScenarioFailure("there is no key ${action.name}")
        return "${sendUntilAccepted(CallSpec.Plain("DELETE", SETTINGS + path, ""))}"
    }

    /** Writes a setting through any VM, with retries until it is accepted. */
    suspend fun put(
        path: String,
        json: String,
    ): CallResult = sendUntilAccepted(CallSpec.Plain("PUT", SETTINGS + path, json))

    suspend fun race(action: Action.Race): String {
        val body = CallSpec.Plain("PUT", SETTINGS + action.path, action.body)
        val expected = mapOf("x-expected-revision" to currentRevision(action.path))
        val all = coroutineScope { action.vms.map { vm -> async { sendTo(vm, body, OPERATOR, expected) } }.awaitAll() }
        all.forEach(::recordRevision)
        races[action.result] = all
        return all.joinToString("; ")
    }

    suspend fun submit(action: Action.Submit): String {
        val key = action.options.key ?: throw ScenarioFailure("a job needs a key")
        val items = WheelItems(action.items, action.impossible)
        val target = "/v1/batches?target=/services/spokes/length&deadline=$DEADLINE_SECONDS"
        val headers = mapOf("idempotency-key" to action.job, "content-type" to "application/jsonl")
        val spec = CallSpec.Plain("POST", target, items.toInput())
        val made = scope.async { CallRecord(spec, send(spec, key, action.options.via, headers)) }
        results[action.options.result] = made
        val result = made.await().result
        val id = WheelJobStatus.parse(result.body)?.id
        val previous = jobs[action.job]?.id
        if (id != null && previous != null && id != previous) {
            throw ScenarioFailure("a retry created job $id in addition to $previous")
        }
        if (id != null) jobs[action.job] = SubmittedJob(id, key, items)
        return if (id == null) "$result ${result.body}" else "$result"
    }

    /** Calls [target] relative to the URL of a job. */
    suspend fun callJob(
        name: String,
        method: String,
        target: String,
    ): CallResult {
        val job = job(name)
        return send(CallSpec.Plain(method, "/v1/batches/${job.id}$target", ""), job.key, null)
    }

    fun startLoad(action: Action.Load): String {
        loads[action.name] = scope.async { runLoad(action) }
        return "started"
    }

    /** Makes a call through [via], or through each VM in turn until the call has run. */
    suspend fun send(
        spec: CallSpec,
        key: String?,
        via: VmId?,
        headers: Map<String, String> = emptyMap(),
    ): CallResult {
        if (via != null) return sendTo(via, spec, key, headers)
        return sendAny(fleet.callableVms.map { it.listed.id }, spec, key, headers)
    }

    suspend fun sendTo(
        vm: VmId,
        spec: CallSpec,
        key: String?,
        headers: Map<String, String> = emptyMap(),
    ): CallResult {
        val authorization = key?.let { mapOf("authorization" to "Bearer ${keys[it] ?: it}") }.orEmpty()
        val all = authorization + headers
        val address = fleet.vm(vm).listed.callerAddress
        return when (spec) {
            is CallSpec.Complete -> {
                http.send(address, "POST", "/v1/completions", all, completionBody(spec), spec.leaveAfter)
            }

            is CallSpec.Book -> {
                val booking = all + ("idempotency-key" to spec.id)
                http.send(address, "POST", "/services/spokes/bookings", booking, """{"slot":"${spec.id}"}""")
            }

            is CallSpec.Plain -> {
                http.send(address, spec.method, resolveReferences(spec.target), all, resolveReferences(spec.body))
            }
        }
    }

    private suspend fun sendAny(
        vms: List<VmId>,
        spec: CallSpec,
        key: String?,
        headers: Map<String, String>,
    ): CallResult {
        val offset = nextVm.getAndIncrement()
        var last: CallResult? = null
        for (index in vms.indices) {
            val result = sendTo(vms[(offset + index) % vms.size], spec, key, headers)
            last = result
            if (!result.hasNotRun || result.code in FINAL_CODES) return result
        }
        return last ?: throw ScenarioFailure("no VM can be called")
    }

    /** Makes a change; retries with the same change id while it is unknown whether it was accepted. */
    private suspend fun sendUntilAccepted(spec: CallSpec): CallResult {
        val change = mapOf("x-change-id" to UUID.randomUUID().toString())
        val start = MonotonicTime.now()
        while (true) {
            val result = send(spec, OPERATOR, null, change)
            recordRevision(result)
            if (result.status in STATUS_OK..STATUS_CREATED) return result
            val isUndecided = result.status <= 0 || result.status == STATUS_UNAVAILABLE
            if (!isUndecided || MonotonicTime.now() - start > ACCEPT_TIMEOUT) {
                throw ScenarioFailure("$result ${result.body}")
            }
            delay(ACCEPT_RETRY_DELAY)
        }
    }

    private suspend fun runLoad(action: Action.Load): LoadRun =
        coroutineScope {
            val start = MonotonicTime.now()
            val count = (action.ratePerSecond * action.duration.inWholeMilliseconds / 1000).toInt()
            val calls =
                (0 until count).map { index ->
                    val scheduledAt = (index * 1000 / action.ratePerSecond).toLong().milliseconds
                    delay(scheduledAt - (MonotonicTime.now() - start))
                    async { loadCall(action, index) }
                }
            LoadRun(calls.awaitAll())
        }

    private suspend fun loadCall(
        action: Action.Load,
        index: Int,
    ): Pair<CallSpec.Complete, CallResult> {
        val prompt = "${action.name} ${index % action.prompts}"
        val spec = CallSpec.Complete(prompt, action.tokens, stream = index % 2 == 0)
        val vms = action.vms.ifEmpty { fleet.callableVms.map { it.listed.id } }
        val result =
            if (action.retry) {
                sendAny(
                    vms,
                    spec,
                    action.key,
                    emptyMap(),
                )
            } else {
                sendTo(vms[index % vms.size], spec, action.key)
            }
        return spec to result
    }

    private suspend fun currentRevision(path: String): String {
        val result = send(CallSpec.Plain("GET", SETTINGS + path, ""), OPERATOR, null)
        return REVISION.find(result.body)?.groupValues?.get(1) ?: "0"
    }

    private fun recordRevision(result: CallResult) {
        val made = field(result, "revision")?.takeIf { !it.isString }?.long ?: return
        if (result.status == STATUS_OK) latestRevision.accumulateAndGet(made, ::maxOf)
    }

    private fun field(
        result: CallResult,
        name: String,
    ): JsonPrimitive? {
        val json = runCatching { Json.parseToJsonElement(result.body).jsonObject }.getOrNull() ?: return null
        return json[name]?.let { runCatching { it.jsonPrimitive }.getOrNull() }
    }

    /** Replaces `$name` with the id of that job or the address of that backend server. */
    private fun resolveReferences(text: String): String =
        REFERENCE.replace(text) { match ->
            val name = match.groupValues[1]
            fleet.servers[name]?.publicAddress ?: job(name).id
        }

    private fun teamOf(workspace: String): String = if (workspace == "assembler") "wheels" else "care"

    private fun completionBody(spec: CallSpec.Complete): String =
        JsonObject(
            mapOf(
                "model" to JsonPrimitive(MODEL),
                "prompt" to JsonPrimitive(spec.prompt),
                "max_tokens" to JsonPrimitive(spec.tokens),
                "stream" to JsonPrimitive(spec.stream),
            ),
        ).toString()

    companion object {
        const val MODEL = "m"
        val REVISION = Regex("\"revision\":\\s*(\\d+)")
        private const val DEADLINE_SECONDS = 600
        private val REFERENCE = Regex("\\$([a-z][a-z0-9-]*)")
        private val ACCEPT_TIMEOUT = 20.seconds
        private val ACCEPT_RETRY_DELAY = 100.milliseconds

        /** Error codes that do not depend on the VM, so that a retry at another VM is pointless. */
        private val FINAL_CODES = setOf("rate_exceeded", "unknown_key", "forbidden", "revision_conflict")
    }
}
