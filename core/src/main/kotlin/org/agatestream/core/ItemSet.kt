package org.agatestream.core

import kotlinx.serialization.Serializable
import java.util.BitSet
import java.util.HexFormat
import kotlin.jvm.JvmInline

/** A set of positions of items within a chunk; its text is the hexadecimal form of a bit set. */
@Serializable
@JvmInline
public value class ItemSet(
    private val hex: String,
) {
    /** The number of items. */
    public val size: Int
        get() = toBits().cardinality()

    /** Returns the set with the items of [positions] as well. */
    public operator fun plus(positions: Iterable<Int>): ItemSet {
        val bits = toBits()
        positions.forEach { bits.set(it) }
        return of(bits)
    }

    /** Returns the bits of this set; a change of them does not change the set. */
    public fun toBits(): BitSet = BitSet.valueOf(HexFormat.of().parseHex(hex))

    override fun toString(): String = toBits().toString()

    public companion object {
        /** The set without items. */
        public val EMPTY: ItemSet = ItemSet("")

        /** Makes the set of the bits that are set in [bits]. */
        public fun of(bits: BitSet): ItemSet = ItemSet(HexFormat.of().formatHex(bits.toByteArray()))
    }
}
