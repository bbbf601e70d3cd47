package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The result of an event in a state of a chart. */
public sealed interface Step<out S> {
    /** The event leads to [state], which may be the current state. */
    public data class Moved<out S>(
        public val state: S,
    ) : Step<S>

    /** The event has no effect and is not an error. */
    public data object Ignored : Step<Nothing>

    /** The event is an error in this state. */
    public data object Refused : Step<Nothing>
}

/**
 * A state chart parsed from JSON text with comments.
 *
 * Every event has exactly one result in every state, every state is reachable from the initial one, and no event leads
 * out of a final state.
 */
public class StateChart private constructor(
    public val initial: String,
    public val states: Set<String>,
    public val finalStates: Set<String>,
    public val events: Set<String>,
    private val steps: Map<ChartCell, Step<String>>,
) {
    /**
     * Returns the result of [event] in [state].
     *
     * @throws IllegalArgumentException if the chart has no such state or event.
     */
    public fun next(
        state: String,
        event: String,
    ): Step<String> =
        requireNotNull(steps[ChartCell(state, event)]) { "the chart has no state $state or no event $event" }

    /** Returns whether no event leads out of [state]. */
    public fun isFinal(state: String): Boolean = state in finalStates

    public companion object {
        /** Parses and validates a chart; the failure's message lists every error. */
        public fun parse(text: String): Outcome<StateChart> {
            val file =
                try {
                    chartJson.decodeFromString(ChartFile.serializer(), text)
                } catch (e: SerializationException) {
                    return ErrorKind.INVALID_SETTING.toFailed("the chart is not valid JSON: ${e.message}")
                }
            val errors = ChartValidator(file).validate()
            if (errors.isNotEmpty()) return ErrorKind.INVALID_SETTING.toFailed(errors.joinToString("; "))
            val chart =
                StateChart(
                    initial = file.initial,
                    states = file.states.toSet(),
                    finalStates = file.final.toSet(),
                    events = file.events.toSet(),
                    steps = file.results().toMap(),
                )
            return chart.toOk()
        }

        /**
         * Loads the chart `/charts/<name>.json` from the class path.
         *
         * @throws IllegalStateException if it is missing or invalid.
         */
        public fun load(name: String): StateChart {
            val stream = StateChart::class.java.getResourceAsStream("/charts/$name.json")
            val text = checkNotNull(stream) { "there is no chart $name" }.use { it.readBytes().decodeToString() }
            return parse(text).getOrElse { error("chart $name: ${it.message}") }
        }
    }
}

/** A state and an event, which together have one result in a chart. */
internal data class ChartCell(
    val state: String,
    val event: String,
)

@Serializable
internal data class ChartFile(
    val initial: String,
    val states: List<String>,
    val final: List<String> = emptyList(),
    val events: List<String>,
    val transitions: List<ChartTransition>,
    val ignored: Map<String, List<String>> = emptyMap(),
    val refused: Map<String, List<String>> = emptyMap(),
) {
    /** Returns the results in file order; an invalid file may contain a key more than once. */
    fun results(): List<Pair<ChartCell, Step<String>>> =
        transitions.map { ChartCell(it.from, it.event) to Step.Moved(it.to) } +
            cells(ignored).map { it to Step.Ignored } +
            cells(refused).map { it to Step.Refused }

    private fun cells(byState: Map<String, List<String>>): List<ChartCell> =
        byState.flatMap { (state, events) -> events.map { ChartCell(state, it) } }
}

@Serializable
internal data class ChartTransition(
    val from: String,
    val event: String,
    val to: String,
)

/** Validates the file of a chart. */
internal class ChartValidator(
    private val file: ChartFile,
) {
    private val results = file.results()

    fun validate(): List<String> = unknownNames() + repeated() + unhandled() + leavingFinalStates() + unreachable()

    private fun unknownNames(): List<String> {
        val named = results.map { it.first.state } + file.transitions.map { it.to } + file.final + file.initial
        val states = (named.toSet() - file.states.toSet()).map { "unknown state $it" }
        val events = (results.map { it.first.event }.toSet() - file.events.toSet()).map { "unknown event $it" }
        return states + events
    }

    private fun repeated(): List<String> {
        val cells = results.groupingBy { it.first }.eachCount()
        return cells.filterValues { it > 1 }.keys.map { "event ${it.event} has two results in state ${it.state}" } +
            listOf(file.states, file.events).flatMap { repeatedNames(it) }
    }

    private fun repeatedNames(names: List<String>): List<String> =
        names
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .map { "the name $it is repeated" }

    private fun unhandled(): List<String> {
        val handled = results.map { it.first }.toSet()
        val all = file.states.flatMap { state -> file.events.map { ChartCell(state, it) } }
        return (all - handled).map { "event ${it.event} has no result in state ${it.state}" }
    }

    private fun leavingFinalStates(): List<String> =
        file.transitions
            .filter { it.from in file.final && it.to != it.from }
            .map { "event ${it.event} leaves the final state ${it.from}" }

    private fun unreachable(): List<String> {
        val reached = mutableSetOf(file.initial)
        var size = 0
        while (size < reached.size) {
            size = reached.size
            reached += file.transitions.filter { it.from in reached }.map { it.to }
        }
        return (file.states.toSet() - reached).map { "state $it can't be reached" }
    }
}

@OptIn(ExperimentalSerializationApi::class)
private val chartJson = Json { allowComments = true }
