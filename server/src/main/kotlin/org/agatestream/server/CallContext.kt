package org.agatestream.server

import org.agatestream.core.Caller
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RequestId
import org.agatestream.core.WorkspaceId

/** The context of one request after authentication of its caller. */
internal class CallContext(
    val id: RequestId,
    /** The caller, or null on a route that needs no key. */
    val caller: Caller?,
    val arrivedAt: MonotonicTime,
    val deadline: MonotonicTime,
) {
    val workspace: WorkspaceId?
        get() = caller?.workspace?.id
}
