package org.agatestream.core

/**
 * Stride scheduling of the batch work of workspaces on one VM.
 *
 * Each workspace has a pass that grows by the work done for it divided by its weight; the lowest pass goes first. As
 * each VM serves workspaces in proportion to their weights, so does the fleet, without coordination between VMs.
 */
public data class FairShare(
    private val passes: Map<WorkspaceId, Double> = emptyMap(),
) {
    /**
     * Returns [active] in the order in which this VM should serve them.
     *
     * Workspaces with equal passes are ordered by [tieBreak], which should differ between VMs.
     */
    public fun order(
        active: Collection<WorkspaceId>,
        tieBreak: (WorkspaceId) -> Int,
    ): List<WorkspaceId> = active.sortedWith(compareBy<WorkspaceId> { pass(it, active) }.thenBy(tieBreak))

    /** Records that [items] were claimed for [workspace] while the workspaces [active] had work. */
    public fun recordServed(
        workspace: WorkspaceId,
        items: Int,
        weight: Int,
        active: Collection<WorkspaceId>,
    ): FairShare {
        val next = pass(workspace, active) + items.toDouble() / weight.coerceAtLeast(1)
        return FairShare(active.associateWith { pass(it, active) } + (workspace to next))
    }

    /** Returns the pass of [workspace]; after a time without work it starts at the lowest one, with no backlog. */
    private fun pass(
        workspace: WorkspaceId,
        active: Collection<WorkspaceId>,
    ): Double = passes[workspace] ?: active.mapNotNull { passes[it] }.minOrNull() ?: 0.0
}
