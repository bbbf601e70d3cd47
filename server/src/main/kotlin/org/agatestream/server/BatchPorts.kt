package org.agatestream.server

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.agatestream.core.BatchRules
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ObjectStore
import org.agatestream.core.TableService
import org.agatestream.core.VmId
import java.time.Instant
import kotlin.random.Random

/** The dependencies of batch processing on a VM; tests replace clocks, randomness and the log. */
public class BatchPorts(
    public val self: VmId,
    public val table: TableService,
    public val objects: ObjectStore,
    public val runner: ItemRunner,
    public val coordination: Coordination,
    public val rules: BatchRules = BatchRules(),
    public val random: Random = Random.Default,
    public val clock: () -> MonotonicTime = MonotonicTime::now,
    public val wallClock: () -> Instant = Instant::now,
    public val registry: MeterRegistry = SimpleMeterRegistry(),
    public val log: (event: String, pairs: Array<out Pair<String, Any?>>) -> Unit = EventLog::info,
)
