package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/**
 * The version of the row that names a coordinator.
 *
 * Every naming is a transaction of the store, so a later coordinator has a higher term than all before it.
 */
@Serializable
@JvmInline
public value class CoordinatorTerm(
    /** The version of the row. */
    public val version: Long,
) : Comparable<CoordinatorTerm> {
    /** The number of the first item run of this term; those of two terms and of online requests never coincide. */
    public val firstRunNumber: Long get() = ITEM_RUN_FLAG or (version shl RUN_NUMBER_BITS)

    override fun compareTo(other: CoordinatorTerm): Int = version.compareTo(other.version)

    override fun toString(): String = version.toString()

    public companion object {
        /** Precedes every term. */
        public val NONE: CoordinatorTerm = CoordinatorTerm(0)

        // A million runs a term; more would need as many results, each of which raises the store's version too.
        private const val RUN_NUMBER_BITS = 20

        // VMs count their online requests from zero.
        private const val ITEM_RUN_FLAG = 1L shl 62
    }
}
