package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.rollout.VersionBook
import kotlin.time.Duration.Companion.milliseconds

/** Reads from the store how open roll-outs stand while no coordinator tells it. */
internal class RolloutStatusReader(
    private val book: VersionBook,
    private val rows: RolloutRows,
    private val hasCoordinator: () -> Boolean,
    private val scope: CoroutineScope,
) {
    private var loop: Job? = null

    /** Starts to read if there is an open order. */
    fun onViewChanged() {
        if (loop?.isActive == true || book.openOrders.isEmpty()) return
        loop =
            scope.launch {
                while (isActive && book.openOrders.isNotEmpty()) {
                    if (!hasCoordinator()) readAll()
                    delay(READ_INTERVAL)
                }
            }
    }

    private suspend fun readAll() {
        for (order in book.openOrders) {
            rows.readStatus(order.service)?.let { book.onStatus(order.service, it) }
        }
    }

    private companion object {
        // A tenth of the 5 s after which nothing may be sent to a version that was rolled back.
        val READ_INTERVAL = 500.milliseconds
    }
}
