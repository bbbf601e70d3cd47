package org.agatestream.core

/** A slot occupied by a run. */
internal class HeldSlot(
    val server: BackendServerId,
    val service: ServiceId,
    val since: MonotonicTime,
    val isItem: Boolean,
    /** The work of the run, in units of [org.agatestream.core.fairness.RunWork]. */
    val work: Double,
    /** The waiting request that the run was started for; null if the run was reported or is an item's. */
    val request: PlaceRequest? = null,
)

/** The slots occupied by runs, by run and VM, and the runs of items by service. */
internal class HeldSlots {
    private val slots = HashMap<CallId, HeldSlot>()
    private val byVm = HashMap<VmId, MutableSet<CallId>>()
    private val itemsByService = HashMap<ServiceId, MutableSet<CallId>>()
    private val onlineByService = HashMap<ServiceId, Int>()

    val size: Int get() = slots.size

    /** The runs that occupy a slot. */
    val calls: Set<CallId> get() = slots.keys

    operator fun get(call: CallId): HeldSlot? = slots[call]

    /** Returns the runs of [vm]. */
    fun of(vm: VmId): List<CallId> = byVm[vm].orEmpty().toList()

    /** Returns the runs of items at servers of [service]. */
    fun itemsOf(service: ServiceId): Set<CallId> = itemsByService[service].orEmpty()

    /** Returns the number of runs of online requests at servers of [service]. */
    fun onlineOf(service: ServiceId): Int = onlineByService[service] ?: 0

    /** Returns the number of runs at [servers]. */
    fun countAt(servers: Set<BackendServerId>): Int = slots.values.count { it.server in servers }

    /** Adds the slot of a run that holds none. */
    fun add(
        call: CallId,
        slot: HeldSlot,
    ) {
        slots[call] = slot
        byVm.getOrPut(call.vm) { LinkedHashSet() } += call
        if (slot.isItem) {
            itemsByService.getOrPut(slot.service) { LinkedHashSet() } += call
        } else {
            onlineByService.merge(slot.service, 1, Int::plus)
        }
    }

    fun remove(call: CallId): HeldSlot? {
        val slot = slots.remove(call) ?: return null
        byVm[call.vm]?.let {
            it -= call
            if (it.isEmpty()) byVm -= call.vm
        }
        if (slot.isItem) {
            itemsByService[slot.service]?.remove(call)
        } else {
            onlineByService.merge(slot.service, -1, Int::plus)
        }
        return slot
    }
}
