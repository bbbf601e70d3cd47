package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Loads the chart of a backend server that comes with the program. */
public fun loadBackendChart(): BackendChart {
    val text = checkNotNull(BackendChart::class.java.getResource("/charts/backend-server.json")).readText()
    return parseBackendChart(text)
}

/** Parses a chart; fails if a state answers an event not at all or twice. */
internal fun parseBackendChart(text: String): BackendChart {
    val file = Json.decodeFromString(ChartFile.serializer(), text)
    val next = file.transitions.associate { (it.from.toState() to it.event.toEvent()) to it.to.toState() }
    require(next.size == file.transitions.size) { "a state answers an event twice" }
    for (state in WarmthState.entries) {
        for (event in BackendEvent.entries) require(state to event in next) { "$state does not answer $event" }
    }
    return BackendChart { state, event -> next.getValue(state to event) }
}

private fun String.toState(): WarmthState = WarmthState.valueOf(uppercase())

private fun String.toEvent(): BackendEvent = BackendEvent.valueOf(uppercase())

@Serializable
private data class ChartFile(
    val initial: String,
    val states: List<String>,
    val events: List<String>,
    val transitions: List<ChartTransition>,
)

@Serializable
private data class ChartTransition(
    val from: String,
    val event: String,
    val to: String,
)
