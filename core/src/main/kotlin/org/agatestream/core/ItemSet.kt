package org.agatestream.core

import kotlinx.serialization.Serializable
import java.util.BitSet
import java.util.HexFormat
import kotlin.jvm.JvmInline

/** A set of item positions within a chunk, serialized as a hexadecimal bit set. */
@Serializable
@JvmInline
public value class ItemSet(
    private val hex: String,
) {
    /** The number of items. */
    public val size: Int
        get() = toBits().cardinality()

    /** Returns this set with [positions] added. */
    public operator fun plus(positions: Iterable<Int>): ItemSet {
        val bits = toBits()
        positions.forEach { bits.set(it) }
        return of(bits)
    }

    /** Returns a copy of the bits of this set. */
    public fun toBits(): BitSet = BitSet.valueOf(HexFormat.of().parseHex(hex))

    override fun toString(): String = toBits().toString()

    public companion object {
        /** The empty set. */
        public val EMPTY: ItemSet = ItemSet("")

        /** Creates the set of the positions set in [bits]. */
        public fun of(bits: BitSet): ItemSet = ItemSet(HexFormat.of().formatHex(bits.toByteArray()))
    }
}
