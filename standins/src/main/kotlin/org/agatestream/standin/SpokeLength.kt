package org.agatestream.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.sqrt

/** One side of a hub. */
@Serializable
internal data class Hub(
    /** Diameter of the circle of spoke holes. */
    @SerialName("flange_diameter_mm") val flangeDiameter: Double,
    @SerialName("center_to_flange_mm") val centerToFlange: Double,
    /** Diameter of one spoke hole. */
    @SerialName("hole_diameter_mm") val holeDiameter: Double,
)

@Serializable
internal data class Rim(
    /** The effective rim diameter. */
    @SerialName("erd_mm") val effectiveDiameter: Double,
)

/** One side of a wheel to be built. */
@Serializable
internal data class Wheel(
    val hub: Hub,
    val rim: Rim,
    /** Number of spokes of the whole wheel. */
    val spokes: Int,
    /** Number of spokes of the same flange that a spoke crosses. */
    val crosses: Int,
)

/** Returns why the wheel cannot be built, or null if it is valid. */
internal fun Wheel.validationError(): String? =
    when {
        spokes < MIN_SPOKES || spokes % 2 != 0 -> "the number of spokes must be even and at least $MIN_SPOKES"
        crosses < 0 -> "the number of crosses must not be negative"
        crosses * SPOKES_PER_CROSS > spokes -> "$spokes spokes allow at most ${spokes / SPOKES_PER_CROSS} crosses"
        hub.holeDiameter <= 0 || hub.holeDiameter >= hub.flangeDiameter -> "the spoke hole must fit the flange"
        hub.centerToFlange < 0 -> "the distance from centre to flange must not be negative"
        hub.flangeDiameter >= rim.effectiveDiameter -> "the flange must be smaller than the rim"
        else -> null
    }

/**
 * Returns the length of a spoke in millimetres.
 *
 * With rim radius R = ERD/2, flange radius r, distance from centre to flange w, spoke-hole diameter h and the angle
 * a = 2π · crosses / (spokes/2), the length is √(R² + r² + w² − 2·R·r·cos a) − h/2.
 */
internal fun Wheel.spokeLength(): Double {
    val rimRadius = rim.effectiveDiameter / 2
    val flangeRadius = hub.flangeDiameter / 2
    val angle = 2 * PI * crosses / (spokes / 2)
    val square =
        rimRadius * rimRadius + flangeRadius * flangeRadius + hub.centerToFlange * hub.centerToFlange -
            2 * rimRadius * flangeRadius * cos(angle)
    return sqrt(square) - hub.holeDiameter / 2
}

private const val MIN_SPOKES = 8

/** With more crosses per spoke, a spoke would run past a quarter turn of the hub. */
private const val SPOKES_PER_CROSS = 8
