package org.agatestream.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.double
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.math.abs

/** The items of a scenario's batch job: wheels whose spoke lengths are known, the last ones impossible. */
internal class WheelItems(
    private val items: Int,
    private val impossible: Int,
) {
    /** Returns the input of the job as JSON lines. */
    fun toInput(): String = (0 until items).joinToString("") { line(it) }

    /** Returns what is wrong with the results of the job, or null. */
    fun fault(results: String): String? {
        val lines = results.lines().filter { it.isNotBlank() }
        val parsed = lines.map { standInJson.decodeFromString(WheelResult.serializer(), it) }
        val byId = parsed.groupBy { it.id }
        val twice = byId.filterValues { it.size > 1 }.keys
        val missing = (0 until items).map(::id) - byId.keys
        val wrong = (0 until items).filter { index -> byId[id(index)]?.first()?.let { isRight(index, it) } == false }
        return when {
            twice.isNotEmpty() -> "${twice.size} items have several results, as ${twice.first()}"
            missing.isNotEmpty() -> "${missing.size} items have no result, as ${missing.first()}"
            byId.size > items -> "there are results of unknown items"
            wrong.isNotEmpty() -> "${wrong.size} results are wrong, as ${byId[id(wrong.first())]}"
            else -> null
        }
    }

    private fun line(index: Int): String {
        val body = standInJson.encodeToString(Wheel.serializer(), wheel(index))
        return """{"id":"${id(index)}","body":$body}""" + "\n"
    }

    private fun id(index: Int): String = "wheel-$index"

    private fun isImpossible(index: Int) = index >= items - impossible

    private fun wheel(index: Int): Wheel {
        val rim = Rim(SMALLEST_RIM + index % RIMS)
        val crosses = if (isImpossible(index)) TOO_MANY_CROSSES else index % POSSIBLE_CROSSES
        return Wheel(Hub(FLANGE, FLANGE_DISTANCE, HOLE), rim, SPOKES, crosses)
    }

    private fun isRight(
        index: Int,
        result: WheelResult,
    ): Boolean {
        if (isImpossible(index)) return result.status == "failed"
        val length =
            result.body
                ?.jsonObject
                ?.get("length_mm")
                ?.jsonPrimitive
                ?.double
        val expected = wheel(index).spokeLength()
        return result.status == "done" && length != null && abs(length - expected) <= ROUNDING
    }

    private companion object {
        const val FLANGE = 45.0
        const val FLANGE_DISTANCE = 35.0
        const val HOLE = 2.5
        const val SPOKES = 32
        const val SMALLEST_RIM = 560.0
        const val RIMS = 60
        const val POSSIBLE_CROSSES = 4
        const val TOO_MANY_CROSSES = 9
        const val ROUNDING = 0.011
    }
}

/** One line of a job's results, as a caller reads it. */
@Serializable
private data class WheelResult(
    val id: String,
    val status: String,
    val body: JsonElement? = null,
)

/** The state of a job, as a caller reads it. */
@Serializable
internal data class WheelJobStatus(
    val id: String,
    val state: String,
) {
    companion object {
        fun parse(text: String): WheelJobStatus? =
            runCatching { Json { ignoreUnknownKeys = true }.decodeFromString(serializer(), text) }.getOrNull()
    }
}
