package org.agatestream.core.fairness

import org.agatestream.core.WorkspaceId

/**
 * The order in which workspaces start items, by stride scheduling; [weightOf] returns the weights of workspaces.
 *
 * A workspace that had no pending items for some time starts level with the others. Only workspaces that are ahead of
 * the others have a state.
 */
internal class ItemShares(
    private val weightOf: (WorkspaceId) -> Double = { 1.0 },
) {
    private val passes = HashMap<WorkspaceId?, Double>()
    private var virtualTime = 0.0

    /** The number of workspaces whose state is kept. */
    val tracked: Int get() = passes.size

    /** Returns the rank of [workspace]; the lowest one goes first. */
    fun pass(workspace: WorkspaceId?): Double = maxOf(virtualTime, passes[workspace] ?: 0.0)

    /** Records that an item of [workspace] starts that needs [runs] usual runs. */
    fun onStarted(
        workspace: WorkspaceId?,
        runs: Double,
    ) {
        val pass = pass(workspace)
        val weight = if (workspace == null) 1.0 else weightOf(workspace).coerceAtLeast(MIN_WEIGHT)
        passes[workspace] = pass + runs / weight
        if (pass <= virtualTime) return
        virtualTime = pass
        passes.values.removeAll { it <= virtualTime }
    }

    private companion object {
        const val MIN_WEIGHT = 0.001
    }
}
