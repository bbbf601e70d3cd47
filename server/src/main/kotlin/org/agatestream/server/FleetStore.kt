package org.agatestream.server

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.agatestream.core.ConfigDelta
import org.agatestream.core.CoordinationState
import org.agatestream.core.FleetView
import org.agatestream.core.Outcome
import org.agatestream.core.Plan
import org.agatestream.core.Revision
import java.util.concurrent.CopyOnWriteArrayList

/** Parses all settings, as JSON text by path, into the view at a revision. */
internal typealias FleetParse = (Map<String, String>, Revision) -> Outcome<FleetView>

/** Holds this VM's [CoordinationState] and the settings parsed from it. */
internal class FleetStore(
    start: CoordinationState,
    val parse: FleetParse,
) {
    private val lock = Any()
    private val applyMutex = Mutex()
    private val listeners = CopyOnWriteArrayList<() -> Unit>()

    @Volatile
    var state: CoordinationState = start
        private set

    @Volatile
    var view: FleetView = FleetView()
        private set

    /** Calls [listener] after each change of the settings or the plan. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Replaces the state with the result of [transition], which must not change settings or plan; see [apply]. */
    fun update(transition: (CoordinationState) -> CoordinationState): CoordinationState =
        synchronized(lock) {
            state = transition(state)
            state
        }

    /**
     * Applies settings and plan. Settings that this VM can't parse are not applied, so that it stops being current.
     *
     * Returns whether anything changed.
     */
    suspend fun apply(
        delta: ConfigDelta,
        plan: Plan,
    ): Boolean {
        val isChanged = applyMutex.withLock { applyLocked(delta, plan) }
        if (isChanged) listeners.forEach { it() }
        return isChanged
    }

    private fun applyLocked(
        delta: ConfigDelta,
        plan: Plan,
    ): Boolean {
        val before = state.config
        val config = before.apply(delta)
        val parsed = if (config === before) Outcome.Ok(view) else parse(config.values, config.revision)
        if (parsed is Outcome.Failed) {
            EventLog.warn("settings_not_applied", "revision" to config.revision, "kind" to parsed.failure.kind)
            return false
        }
        val from = state.head
        synchronized(lock) {
            view = (parsed as Outcome.Ok).value
            state = state.onUpdate(delta, plan)
        }
        if (state.head != from) EventLog.info("head_applied", "from" to from, "to" to state.head)
        return state.head != from
    }
}
