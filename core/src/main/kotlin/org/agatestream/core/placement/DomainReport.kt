package org.agatestream.core.placement

import org.agatestream.core.FailureDomainId
import org.agatestream.core.ServiceId

/** Why a request is sent to another failure domain. */
public enum class LeaveReason {
    /** No server of its own domain has a free slot, or those that have may not get work, as they are cold. */
    OWN_FULL,

    /** Its own domain is not expected to serve it in time. */
    OWN_SLOW,

    /** Another domain has the prompt cached. */
    PROMPT,

    /** Its own domain has no server. */
    ONLY_THERE,
}

/** The requests of a service begin or cease to leave a failure domain for lack of capacity there. */
public data class DomainChange(
    val service: ServiceId,
    val origin: FailureDomainId,
    val isLeaving: Boolean,
    /** Null if they cease to leave. */
    val reason: LeaveReason?,
    /** What staying costs the deciding request in milliseconds; null if the domain has no server. */
    val stayMillis: Double?,
    /** What leaving costs it in milliseconds; null if no other domain can serve it. */
    val leaveMillis: Double?,
)

/** A direction of traffic between failure domains. */
public data class DomainFlow(
    val from: FailureDomainId,
    val to: FailureDomainId,
    val reason: LeaveReason,
)
