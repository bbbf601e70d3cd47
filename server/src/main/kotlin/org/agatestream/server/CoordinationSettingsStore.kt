package org.agatestream.server

import org.agatestream.core.ConfigLogEntry
import org.agatestream.core.ConfigState
import org.agatestream.core.ConfigWrite
import org.agatestream.core.Outcome
import org.agatestream.core.Revision
import org.agatestream.core.map
import java.time.Instant

/** The settings of the fleet as [CoordinationService] replicates them. */
internal class CoordinationSettingsStore(
    private val coordination: CoordinationService,
    private val wallClock: () -> Instant = Instant::now,
) : SettingsStore {
    override val settings: ConfigState
        get() = coordination.config

    override suspend fun put(write: ConfigWrite): Outcome<Revision> = coordination.put(write, wallClock())

    override suspend fun history(limit: Int): Outcome<List<ConfigLogEntry>> {
        val after = Revision((coordination.head.revision.number - limit).coerceAtLeast(0))
        return coordination.history(after, limit).map { it.asReversed() }
    }

    override suspend fun inForce(): List<VmInForce> =
        coordination.inForce().map { (vm, head) -> VmInForce(vm, head?.revision) }.sortedBy { it.vm.value }
}
