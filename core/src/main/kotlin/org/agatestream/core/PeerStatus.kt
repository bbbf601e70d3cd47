package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The status that a VM sends in heartbeats and in responses to them.
 *
 * Head and effective epoch only grow, so a newer status replaces an older one. Ages are used only in responses,
 * because the requester knows that they were taken after it sent the request.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class PeerStatus(
    public val head: FleetHead,
    /** The newest plan known to be in force. */
    public val effective: PlanEpoch,
    /** True if the VM has been current at some time since its process started. */
    public val initialised: Boolean,
    /** The age of the VM's knowledge of the fleet in milliseconds, or null if it has none. */
    public val ageMillis: Long? = null,
    /**
     * The age of the last contact with each VM of the plan, in plan order, in units of [CONTACT_STEP], at most 255.
     *
     * Empty while the table is reachable.
     */
    @ByteString
    public val contactAges: ByteArray = ByteArray(0),
) {
    /**
     * Converts the ages to times on the clock of the requester, which sent its request at [sentAt].
     *
     * [plan] is the requester's plan; contacts are ignored if its epoch is not that of [head].
     */
    public fun toEvidence(
        peer: VmId,
        sentAt: MonotonicTime,
        plan: Plan,
    ): PeerEvidence =
        PeerEvidence(
            peer = peer,
            head = head,
            initialised = initialised,
            sentAt = sentAt,
            knownSince = ageMillis?.let { sentAt - it.milliseconds },
            contacts = if (plan.epoch == head.epoch) toContacts(sentAt, plan) else emptyMap(),
        )

    private fun toContacts(
        sentAt: MonotonicTime,
        plan: Plan,
    ): Map<VmId, MonotonicTime> {
        val contacts = HashMap<VmId, MonotonicTime>()
        for ((vm, step) in plan.vms.zip(contactAges.asIterable())) {
            val steps = step.toInt() and UNKNOWN_AGE_STEPS
            if (steps < UNKNOWN_AGE_STEPS) contacts[vm.id] = sentAt - CONTACT_STEP * steps
        }
        return contacts
    }

    public companion object {
        /** The unit of [contactAges]. */
        public val CONTACT_STEP: Duration = 20.milliseconds
        internal const val UNKNOWN_AGE_STEPS = 255
    }
}

/** Returns the ages of [contacts] at [now] in units of [PeerStatus.CONTACT_STEP], rounded up, in plan order. */
internal fun Plan.toContactAges(
    contacts: Map<VmId, MonotonicTime>,
    now: MonotonicTime,
): ByteArray =
    ByteArray(vms.size) { i ->
        val age = contacts[vms[i].id]?.let { now - it }
        val steps = if (age == null) PeerStatus.UNKNOWN_AGE_STEPS.toDouble() else age / PeerStatus.CONTACT_STEP
        (steps.toInt() + 1).coerceIn(1, PeerStatus.UNKNOWN_AGE_STEPS).toByte()
    }
