package org.agatestream.server

import org.agatestream.core.ItemId
import org.agatestream.core.JobId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.WorkspaceId

/** One item of a batch job, ready to run. */
public data class ItemCall(
    val job: JobId,
    val item: ItemId,
    val workspace: WorkspaceId,
    /** The path that an online caller would use, as in `/v1/completions` or `/services/spokes/length`. */
    val target: String,
    /** The JSON body of the request. */
    val body: String,
    val deadline: MonotonicTime,
)

/** The result of one run of an item. */
public sealed interface ItemOutcome {
    /** The item ran; [body] is the JSON response. */
    public data class Done(
        val body: String,
    ) : ItemOutcome

    /** The item can't succeed; a retry would fail with the same error. */
    public data class Impossible(
        val code: String,
        val message: String,
    ) : ItemOutcome

    /** The run failed, and a retry may succeed. */
    public data class Failed(
        val reason: String,
    ) : ItemOutcome

    /** The item was preempted or got no slot; this does not count as a failure. */
    public data object Preempted : ItemOutcome
}

/** Runs batch items on backend servers, at a lower priority than online requests. */
public interface ItemRunner {
    /** Runs [call] once; cancelling the coroutine cancels the run at the backend server. */
    public suspend fun run(call: ItemCall): ItemOutcome
}
