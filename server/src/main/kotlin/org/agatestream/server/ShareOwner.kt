package org.agatestream.server

import org.agatestream.core.ShareKey

/** A component of the server that owns shares of limits and hands them over when the plan moves them. */
public interface ShareOwner {
    /** Returns whether this component owns the shares of [key]. */
    public fun owns(key: String): Boolean

    /** Returns the shares that this VM currently acts as owner of. */
    public fun shares(): Collection<ShareKey>

    /** Stops acting as owner of [share] and returns its state for the next owner. */
    public fun release(share: ShareKey): ByteArray

    /** Takes over [share] with the [state] released by its previous owner. */
    public fun takeOver(
        share: ShareKey,
        state: ByteArray,
    )
}
