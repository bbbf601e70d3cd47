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

/** What became of one run of an item. */
public sealed interface ItemOutcome {
    /** The item ran; [body] is the JSON answer. */
    public data class Done(
        val body: String,
    ) : ItemOutcome

    /** The item can't be done; a repeat meets the same error. */
    public data class Impossible(
        val code: String,
        val message: String,
    ) : ItemOutcome

    /** The run failed in a way that a repeat may cure. */
    public data class Failed(
        val reason: String,
    ) : ItemOutcome

    /** The item gave way or found no slot; it has not failed. */
    public data object Yielded : ItemOutcome
}

/** Runs batch items on backend servers, below online requests. */
public interface ItemRunner {
    /** Runs [call] once; cancelling the coroutine cancels the run at the backend server. */
    public suspend fun run(call: ItemCall): ItemOutcome
}
