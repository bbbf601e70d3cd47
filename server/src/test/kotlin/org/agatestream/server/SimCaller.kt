package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.BatchNames
import org.agatestream.core.ErrorKind
import org.agatestream.core.JobStatus
import org.agatestream.core.WorkspaceId
import org.agatestream.core.invariant
import org.agatestream.http.parseErrorBody
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** A simulated caller: submits one job through any VM until it is accepted, follows it, and now and then cancels it. */
internal class SimCaller(
    private val job: SimJob,
    private val random: Random,
    private val store: MemoryPlatform,
    private val anyVm: () -> SimVm,
) {
    private var mayExist = false

    suspend fun use() {
        while (!submit()) delay(3.seconds * random.nextDouble())
        if (random.nextInt(4) == 0) sendAnother()
        val cancelAfter = if (random.nextBoolean()) random.nextInt(4) else Int.MAX_VALUE
        var polls = 0
        var looksAfterEnd = 0
        while (looksAfterEnd < LOOKS_AFTER_END) {
            if (follow()) looksAfterEnd++
            if (polls++ == cancelAfter) cancelAndLook()
            if (random.nextInt(8) == 0) submit()
            delay(4.seconds * random.nextDouble())
        }
    }

    private suspend fun cancelAndLook() {
        repeat(CANCELS) { ask(call("POST", "/${job.id}/cancel")) }
        follow()
    }

    private suspend fun submit(): Boolean {
        val answer = ask(SimCall("POST", job.submitTarget, job.workspace, job.key, job.body))
        if (answer?.status == ACCEPTED) {
            invariant("resend-finds-the-job", answer.status().id == job.id) { answer.text }
            mayExist = true
            return true
        }
        val notRun = answer != null && parseErrorBody(answer.text)?.error?.run == "no"
        if (!notRun) mayExist = true
        val row = store.peek(BatchNames.jobKey(WorkspaceId(job.workspace), job.id))
        invariant("not-run-is-true", mayExist || row == null) { "job ${job.id} was refused as not run" }
        return false
    }

    /** Sends another job under the same key, which must never be accepted. */
    private suspend fun sendAnother() {
        val other = "{\"id\":\"other\",\"body\":{}}\n".encodeToByteArray()
        val answer = ask(SimCall("POST", job.submitTarget, job.workspace, job.key, other)) ?: return
        val code = parseErrorBody(answer.text)?.error?.code
        val codes = setOf(ErrorKind.KEY_REUSED.code, ErrorKind.PLATFORM_UNAVAILABLE.code)
        invariant("key-names-one-job", code in codes) { answer.text }
    }

    /** Looks at status and results; returns true once the job has ended and all results were read. */
    private suspend fun follow(): Boolean {
        val status = ask(call("GET", "/${job.id}"))?.takeIf { it.status == OK }?.status()
        status?.let { job.see(it) }
        val results = ask(call("GET", "/${job.id}/results"))?.takeIf { it.status == OK } ?: return false
        job.see(results)
        if (status == null || status.state == "open" || !results.complete) return false
        job.seeEnd(status)
        return true
    }

    private suspend fun ask(call: SimCall): CallerAnswer? = anyVm().answer(call)

    private fun call(
        method: String,
        rest: String,
    ): SimCall = SimCall(method, "/v1/batches$rest", job.workspace)

    private companion object {
        const val OK = 200
        const val LOOKS_AFTER_END = 4
        const val CANCELS = 2
        const val ACCEPTED = 202
    }
}
