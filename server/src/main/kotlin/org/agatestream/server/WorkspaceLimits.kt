package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.WorkspaceId

/** Holds each workspace to its rate and burst over all VMs together. */
public interface WorkspaceLimits {
    /**
     * Takes one request from the workspace's rate, waiting for owners to answer until [deadline].
     *
     * Fails with `RATE_EXCEEDED` if the workspace is over its rate, and with `LIMIT_UNAVAILABLE` if no owner answered.
     */
    public suspend fun admit(
        workspace: WorkspaceId,
        deadline: MonotonicTime,
    ): Outcome<Unit>
}
