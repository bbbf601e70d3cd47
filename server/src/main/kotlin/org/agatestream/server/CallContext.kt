package org.agatestream.server

import org.agatestream.core.Caller
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RequestId
import org.agatestream.core.WorkspaceId

/** What is known of one online request once its caller is authenticated. */
internal class CallContext(
    val id: RequestId,
    /** The caller, or null on a route that is open to all. */
    val caller: Caller?,
    val arrivedAt: MonotonicTime,
    val deadline: MonotonicTime,
) {
    val workspace: WorkspaceId?
        get() = caller?.workspace?.id
}
