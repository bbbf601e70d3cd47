package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.WorkspaceId

/** Enforces the rate and burst of each workspace across all VMs. */
public interface WorkspaceLimits {
    /**
     * Admits one request under the workspace's rate, waiting for owners to respond until [deadline].
     *
     * Fails with `RATE_EXCEEDED` if the workspace is over its rate, and with `LIMIT_UNAVAILABLE` if no owner responded.
     */
    public suspend fun admit(
        workspace: WorkspaceId,
        deadline: MonotonicTime,
    ): Outcome<Unit>
}
