package org.agatestream.core

/**
 * Decides which items' outputs a VM stores, so that their runs go on there after all VMs were lost.
 *
 * An output is stored again only if it has grown by [MIN_GROWTH] events, which bounds the writes for an item by its
 * length. Not thread-safe.
 */
public class CheckpointPlan {
    private val stored = HashMap<ItemRef, Long>()

    /** Returns the items whose output should be stored; [lastEvents] holds the last event of each one that is open. */
    public fun due(lastEvents: Map<ItemRef, Long>): Set<ItemRef> =
        lastEvents.filter { (item, event) -> event - (stored[item] ?: NO_EVENT) >= MIN_GROWTH }.keys

    /** Returns the items that are no more open and whose output is stored, and forgets them. */
    public fun takeObsolete(open: Set<ItemRef>): Set<ItemRef> {
        val obsolete = stored.keys - open
        stored.keys -= obsolete
        return obsolete
    }

    /** Notes that the output of [item] is stored up to [lastEvent]. */
    public fun onStored(
        item: ItemRef,
        lastEvent: Long,
    ) {
        stored[item] = lastEvent
    }

    private companion object {
        const val NO_EVENT = -1L

        // Half a second of a run: an event holds 8 tokens, and the sheets' engines take 3 to 4 ms for each.
        const val MIN_GROWTH = 20L
    }
}
