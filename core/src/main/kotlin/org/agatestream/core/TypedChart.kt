package org.agatestream.core

import kotlin.enums.EnumEntries
import kotlin.enums.enumEntries

/**
 * A [StateChart] whose states and events are the entries of two enum classes.
 *
 * An entry `IN_PROGRESS` is written as `in-progress` in the chart's file.
 */
public class TypedChart<S : Enum<S>, E : Enum<E>>(
    private val chart: StateChart,
    private val states: EnumEntries<S>,
    events: EnumEntries<E>,
) {
    private val statesByName = states.associateBy { it.toChartName() }

    /** The initial state. */
    public val initial: S

    init {
        checkNames("states", chart.states, statesByName.keys)
        checkNames("events", chart.events, events.map { it.toChartName() }.toSet())
        initial = statesByName.getValue(chart.initial)
    }

    /** Returns the result of [event] in [state]. */
    public fun next(
        state: S,
        event: E,
    ): Step<S> =
        when (val step = chart.next(state.toChartName(), event.toChartName())) {
            is Step.Moved -> Step.Moved(statesByName.getValue(step.state))
            is Step.Ignored -> Step.Ignored
            is Step.Refused -> Step.Refused
        }

    /** Returns whether no event leads out of [state]. */
    public fun isFinal(state: S): Boolean = chart.isFinal(state.toChartName())

    private fun checkNames(
        kind: String,
        inFile: Set<String>,
        inCode: Set<String>,
    ) {
        check(inFile == inCode) { "the $kind of the chart are $inFile but those of the code are $inCode" }
    }

    public companion object {
        /** Loads the chart `/charts/<name>.json`; its names must match those of [S] and [E]. */
        public inline fun <reified S : Enum<S>, reified E : Enum<E>> load(name: String): TypedChart<S, E> =
            TypedChart(StateChart.load(name), enumEntries<S>(), enumEntries<E>())
    }
}

/** Returns the name that this entry has in a chart's file. */
internal fun Enum<*>.toChartName(): String = name.lowercase().replace('_', '-')
