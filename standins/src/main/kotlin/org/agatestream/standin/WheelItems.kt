package org.agatestream.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.double
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.math.abs

/** The items of a batch job: wheels with known spoke lengths, the last [impossible] of which are invalid. */
internal class WheelItems(
    private val items: Int,
    private val impossible: Int,
) {
    /** Returns the input of the job as JSON lines. */
    fun toInput(): String = (0 until items).joinToString("") { line(it) }

    /** Returns the first error found in the results of the job, or null. */
    fun findError(results: String): String? {
        val lines = results.lines().filter { it.isNotBlank() }
        val parsed = lines.map { standInJson.decodeFromString(WheelResult.serializer(), it) }
        val byId = parsed.groupBy { it.id }
        val duplicated = byId.filterValues { it.size > 1 }.keys
        val missing = (0 until items).map(::id) - byId.keys
        val wrong = (0 until items).filter { index -> byId[id(index)]?.first()?.let { isCorrect(index, it) } == false }
        return when {
            duplicated.isNotEmpty() -> "${duplicated.size} items have several results, e.g. ${duplicated.first()}"
            missing.isNotEmpty() -> "${missing.size} items have no result, e.g. ${missing.first()}"
            byId.size > items -> "there are results of unknown items"
            wrong.isNotEmpty() -> "${wrong.size} results are wrong, e.g. ${byId[id(wrong.first())]}"
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
        val rim = Rim(MIN_RIM_DIAMETER_MM + index % RIM_SIZES)
        val crosses = if (isImpossible(index)) INVALID_CROSSES else index % VALID_CROSSES
        return Wheel(Hub(FLANGE_DIAMETER_MM, CENTER_TO_FLANGE_MM, HOLE_DIAMETER_MM), rim, SPOKES, crosses)
    }

    private fun isCorrect(
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
        return result.status == "done" && length != null && abs(length - expected) <= TOLERANCE_MM
    }

    private companion object {
        const val FLANGE_DIAMETER_MM = 45.0
        const val CENTER_TO_FLANGE_MM = 35.0
        const val HOLE_DIAMETER_MM = 2.5
        const val SPOKES = 32
        const val MIN_RIM_DIAMETER_MM = 560.0
        const val RIM_SIZES = 60
        const val VALID_CROSSES = 4
        const val INVALID_CROSSES = 9
        const val TOLERANCE_MM = 0.011
    }
}

/** One line of a job's results. */
@Serializable
private data class WheelResult(
    val id: String,
    val status: String,
    val body: JsonElement? = null,
)

/** The status of a job. */
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
