package org.agatestream.core

/**
 * Chooses the workspace whose batch work this VM serves next.
 *
 * Each workspace has a pass that grows by the work done for it over its weight; the lowest pass goes first. As each
 * VM serves the workspaces in proportion to their weights, so do all VMs together, without asking each other.
 */
public data class FairShare(
    private val passes: Map<WorkspaceId, Double> = emptyMap(),
) {
    /**
     * Returns [active] in the order in which this VM should serve them.
     *
     * Workspaces with equal passes come in the order that [tieBreak] gives, which differs from VM to VM.
     */
    public fun order(
        active: Collection<WorkspaceId>,
        tieBreak: (WorkspaceId) -> Int,
    ): List<WorkspaceId> = active.sortedWith(compareBy<WorkspaceId> { pass(it, active) }.thenBy(tieBreak))

    /** Notes that [items] were claimed for [workspace] while [active] had work. */
    public fun served(
        workspace: WorkspaceId,
        items: Int,
        weight: Int,
        active: Collection<WorkspaceId>,
    ): FairShare {
        val next = pass(workspace, active) + items.toDouble() / weight.coerceAtLeast(1)
        return FairShare(active.associateWith { pass(it, active) } + (workspace to next))
    }

    /** A workspace that had no work for a while begins where the others are, so that it can't catch up at once. */
    private fun pass(
        workspace: WorkspaceId,
        active: Collection<WorkspaceId>,
    ): Double = passes[workspace] ?: active.mapNotNull { passes[it] }.minOrNull() ?: 0.0
}
