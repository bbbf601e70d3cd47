package org.agatestream.server

import org.agatestream.core.ShareKey

/** An area of the server that owns shares of limits, and hands them over when the plan moves them. */
public interface ShareOwner {
    /** Returns whether shares of this key belong to the area. */
    public fun owns(key: String): Boolean

    /** The shares that this VM acts as owner of. */
    public fun shares(): Collection<ShareKey>

    /** Stops acting as owner of [share] and returns its state for the next owner. */
    public fun release(share: ShareKey): ByteArray

    /** Takes over the [state] that the owner before left. */
    public fun takeOver(
        share: ShareKey,
        state: ByteArray,
    )
}
