package org.agatestream.server

/** Whether a VM carries out an order of a coordinator. */
internal enum class OrderVerdict {
    ADMITTED,

    /** A newer coordinator has been named. */
    SUPERSEDED,

    /** The order may come from before a pause of this VM. */
    OUTDATED,
}
