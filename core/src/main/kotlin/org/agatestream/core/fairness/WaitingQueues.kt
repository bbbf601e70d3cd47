package org.agatestream.core.fairness

import org.agatestream.core.CallId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.ServiceId
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import java.util.TreeSet

/** The requests that wait for a slot, by service, call and deadline; [weightOf] returns the weights of workspaces. */
internal class WaitingQueues(
    private val weightOf: (WorkspaceId) -> Double = { 1.0 },
    private val sharesSlots: Boolean = true,
) {
    private val queues = LinkedHashMap<ServiceId, FairQueue>()
    private val byCall = HashMap<CallId, WaitingRequest>()
    private val byDeadline = TreeSet(compareBy<WaitingRequest>({ it.request.queueDeadline }, { it.number }))
    private var nextNumber = 0L

    /** The number of waiting requests. */
    val size: Int get() = byCall.size

    /** All waiting requests. */
    val all: List<WaitingRequest> get() = byCall.values.sortedBy { it.number }

    /** The queues of all services that had requests. */
    val services: Map<ServiceId, FairQueue> get() = queues

    operator fun contains(call: CallId): Boolean = call in byCall

    operator fun get(service: ServiceId): FairQueue? = queues[service]

    /** Returns the queue of the service of [request], which asks at [now]. */
    fun queueOf(
        request: PlaceRequest,
        now: MonotonicTime,
    ): FairQueue = queues.getOrPut(request.service) { FairQueue(weightOf, now, sharesSlots) }

    /** Adds a request that arrives at [now]; one that [mustStartOnTime] has no chance once it is late. */
    fun add(
        request: PlaceRequest,
        now: MonotonicTime,
        mustStartOnTime: Boolean = false,
    ): WaitingRequest {
        val waiting = queueOf(request, now).add(request, nextNumber++, now, mustStartOnTime)
        byCall[request.call] = waiting
        byDeadline += waiting
        return waiting
    }

    /** Removes the request of [call]; returns null if it does not wait. */
    fun remove(call: CallId): WaitingRequest? {
        val waiting = forget(call) ?: return null
        queues.getValue(waiting.request.service).remove(waiting)
        return waiting
    }

    /** Removes a request that starts. */
    fun start(waiting: WaitingRequest) {
        forget(waiting.request.call)
        queues.getValue(waiting.request.service).start(waiting)
    }

    /** Removes all requests of [vm]. */
    fun removeAll(vm: VmId) {
        byCall.keys.filter { it.vm == vm }.forEach { remove(it) }
    }

    /** Removes and returns the requests whose deadline has passed at [now]. */
    fun removeExpired(now: MonotonicTime): List<WaitingRequest> {
        val expired = byDeadline.asSequence().takeWhile { now >= it.request.queueDeadline }.toList()
        expired.forEach { remove(it.request.call) }
        return expired
    }

    private fun forget(call: CallId): WaitingRequest? = byCall.remove(call)?.also { byDeadline -= it }
}
