package org.agatestream.server

import org.agatestream.core.RequestClass

/** Counts the items that [runner] runs, except those that were preempted or can't succeed. */
internal class ObservedItemRunner(
    private val runner: ItemRunner,
    private val levels: ServiceLevels,
) : ItemRunner {
    override suspend fun run(call: ItemCall): ItemOutcome {
        val outcome = runner.run(call)
        when (outcome) {
            is ItemOutcome.Done -> levels.count(call.workspace, RequestClass.BATCH, isGood = true, "ok")
            is ItemOutcome.Failed -> levels.count(call.workspace, RequestClass.BATCH, isGood = false, "failed")
            is ItemOutcome.Impossible, ItemOutcome.Preempted -> Unit
        }
        return outcome
    }
}
