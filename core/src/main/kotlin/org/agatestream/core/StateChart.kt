package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** What a state chart says to an event in a state. */
public sealed interface Step<out S> {
    /** The event leads to [state], which may be the state that it came in. */
    public data class Moved<out S>(
        public val state: S,
    ) : Step<S>

    /** The event changes nothing and is no error. */
    public data object Ignored : Step<Nothing>

    /** The event is an error in this state. */
    public data object Refused : Step<Nothing>
}

/**
 * A state chart that was read from JSON text with comments.
 *
 * Every event has exactly one answer in every state, every state can be reached from the initial one,
 * and no final state is left.
 */
public class StateChart private constructor(
    public val initial: String,
    public val states: Set<String>,
    public val finalStates: Set<String>,
    public val events: Set<String>,
    private val steps: Map<Cell, Step<String>>,
) {
    /**
     * Returns what the chart says to [event] in [state].
     *
     * @throws IllegalArgumentException if the chart has no such state or event.
     */
    public fun next(
        state: String,
        event: String,
    ): Step<String> = requireNotNull(steps[Cell(state, event)]) { "the chart has no state $state or no event $event" }

    /** Returns whether no event leads out of [state]. */
    public fun isFinal(state: String): Boolean = state in finalStates

    public companion object {
        /** Parses and checks a chart; the failure's message names every fault. */
        public fun parse(text: String): Outcome<StateChart> {
            val file =
                try {
                    chartJson.decodeFromString(ChartFile.serializer(), text)
                } catch (e: SerializationException) {
                    return ErrorKind.INVALID_SETTING.toFailed("the chart is no valid JSON: ${e.message}")
                }
            val faults = ChartFaults(file).find()
            if (faults.isNotEmpty()) return ErrorKind.INVALID_SETTING.toFailed(faults.joinToString("; "))
            val chart =
                StateChart(
                    initial = file.initial,
                    states = file.states.toSet(),
                    finalStates = file.final.toSet(),
                    events = file.events.toSet(),
                    steps = file.answers().toMap(),
                )
            return chart.toOk()
        }

        /**
         * Loads the chart `/charts/<name>.json` from the class path.
         *
         * @throws IllegalStateException if there is none or it has faults.
         */
        public fun load(name: String): StateChart {
            val stream = StateChart::class.java.getResourceAsStream("/charts/$name.json")
            val text = checkNotNull(stream) { "there is no chart $name" }.use { it.readBytes().decodeToString() }
            return parse(text).getOrElse { error("chart $name: ${it.message}") }
        }
    }
}

/** A state and an event that may come in it. */
internal data class Cell(
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
    /** Lists the answer of each cell in the order of the file; a cell may stand twice. */
    fun answers(): List<Pair<Cell, Step<String>>> =
        transitions.map { Cell(it.from, it.event) to Step.Moved(it.to) } +
            cells(ignored).map { it to Step.Ignored } +
            cells(refused).map { it to Step.Refused }

    private fun cells(byState: Map<String, List<String>>): List<Cell> =
        byState.flatMap { (state, events) -> events.map { Cell(state, it) } }
}

@Serializable
internal data class ChartTransition(
    val from: String,
    val event: String,
    val to: String,
)

/** Finds what is wrong with a chart's file. */
internal class ChartFaults(
    private val file: ChartFile,
) {
    private val answers = file.answers()

    fun find(): List<String> = unknownNames() + repeated() + unanswered() + leavingFinal() + unreachable()

    private fun unknownNames(): List<String> {
        val named = answers.map { it.first.state } + file.transitions.map { it.to } + file.final + file.initial
        val states = (named.toSet() - file.states.toSet()).map { "unknown state $it" }
        val events = (answers.map { it.first.event }.toSet() - file.events.toSet()).map { "unknown event $it" }
        return states + events
    }

    private fun repeated(): List<String> {
        val cells = answers.groupingBy { it.first }.eachCount()
        return cells.filterValues { it > 1 }.keys.map { "event ${it.event} has two answers in state ${it.state}" } +
            listOf(file.states, file.events).flatMap { repeatedNames(it) }
    }

    private fun repeatedNames(names: List<String>): List<String> =
        names
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .map { "the name $it stands twice" }

    private fun unanswered(): List<String> {
        val answered = answers.map { it.first }.toSet()
        val all = file.states.flatMap { state -> file.events.map { Cell(state, it) } }
        return (all - answered).map { "event ${it.event} has no answer in state ${it.state}" }
    }

    private fun leavingFinal(): List<String> =
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
