package org.agatestream.core

/**
 * Keeps runs with suspected prompt parts apart: one at a time for each part, and no two at one server.
 *
 * A run leaves the isolation when its answer begins.
 */
internal class SuspectIsolation(
    private val suspects: CrashSuspects,
) {
    private class Run(
        val server: BackendServerId,
        val parts: List<PromptPart>,
        var hasBegun: Boolean = false,
    )

    private val runs = HashMap<CallId, Run>()

    /** Returns whether a request with [parts] must wait for the run of another request with a suspected part of it. */
    fun mustWait(
        parts: List<PromptPart>,
        now: MonotonicTime,
    ): Boolean {
        val suspected = (suspects.judge(parts, now) as? PromptVerdict.Suspected)?.parts ?: return false
        return runs.values.any { run -> !run.hasBegun && run.parts.any { it in suspected } }
    }

    /** Returns the servers at which a run with a suspected part has not begun. */
    fun servers(now: MonotonicTime): Set<BackendServerId> {
        if (suspects.isClear) return emptySet()
        return runs.values
            .filter { !it.hasBegun && suspects.judge(it.parts, now) !is PromptVerdict.Clear }
            .mapTo(HashSet()) { it.server }
    }

    /** Records a run; a run that is known already keeps its state. */
    fun onStarted(
        call: CallId,
        server: BackendServerId,
        parts: List<PromptPart>,
    ) {
        if (parts.isEmpty() || runs[call]?.server == server) return
        runs[call] = Run(server, parts)
    }

    /** Records that the answer of a run began. */
    fun onBegun(
        call: CallId,
        now: MonotonicTime,
    ) {
        val run = runs[call]?.takeIf { !it.hasBegun } ?: return
        run.hasBegun = true
        suspects.onSoundStart(run.parts, now)
    }

    /** Records the end of a run. */
    fun onReleased(
        call: CallId,
        hasBegun: Boolean,
        now: MonotonicTime,
    ) {
        if (hasBegun) onBegun(call, now)
        runs -= call
    }

    /** Forgets a run of which nothing more is heard. */
    fun onAbandoned(call: CallId) {
        runs -= call
    }
}
