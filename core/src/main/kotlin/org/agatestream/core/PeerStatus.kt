package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a VM tells of itself in heartbeats.
 *
 * Head and effective epoch only grow, so a newer status replaces an older one. Ages count only in answers, where the
 * asking VM knows a time before which they can't have been taken.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class PeerStatus(
    public val head: FleetHead,
    /** The newest plan that the VM knows to be in force. */
    public val effective: PlanEpoch,
    /** True once the VM has been current since its process started. */
    public val initialised: Boolean,
    /** The age of the VM's knowledge in milliseconds, or null if it has none. */
    public val ageMillis: Long? = null,
    /**
     * For each VM of the plan, in its order, the age of the last contact in steps of [CONTACT_STEP], at most 255.
     *
     * Empty while the table answers.
     */
    @ByteString
    public val contactAges: ByteArray = ByteArray(0),
) {
    /** Returns the ages as times of the VM that sent the ask at [sentAt]; [plan] is the plan of [head]'s epoch. */
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
            val steps = step.toInt() and UNKNOWN_AGE
            if (steps < UNKNOWN_AGE) contacts[vm.id] = sentAt - CONTACT_STEP * steps
        }
        return contacts
    }

    public companion object {
        /** The unit of [contactAges]. */
        public val CONTACT_STEP: Duration = 20.milliseconds
        internal const val UNKNOWN_AGE = 255
    }
}

/** Returns the ages of [contacts] at [now] in the order of this plan, rounded up. */
internal fun Plan.toContactAges(
    contacts: Map<VmId, MonotonicTime>,
    now: MonotonicTime,
): ByteArray =
    ByteArray(vms.size) { i ->
        val age = contacts[vms[i].id]?.let { now - it }
        val steps = if (age == null) PeerStatus.UNKNOWN_AGE.toDouble() else age / PeerStatus.CONTACT_STEP
        (steps.toInt() + 1).coerceIn(1, PeerStatus.UNKNOWN_AGE).toByte()
    }
