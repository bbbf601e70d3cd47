package org.agatestream.server

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import org.agatestream.core.VmId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Tells a peer that [vm] takes no new callers from now on. */
@Serializable
public data class LeavingNotice(
    val vm: VmId,
) : PeerAsk

/** Says that a [LeavingNotice] was taken in. */
@Serializable
public data object LeavingNoticeTaken : PeerAnswer

/** The VMs that are known to leave before the platform's list shows it. */
public class LeavingVms(
    private val coordination: Coordination,
) {
    private val leaving = ConcurrentHashMap.newKeySet<VmId>()

    /** Returns the VMs that leave, without those the platform's list no longer shows. */
    public fun current(): Set<VmId> = leaving.toSet()

    /** Takes in the notice of a peer. */
    public fun take(notice: LeavingNotice): PeerAnswer {
        leaving.add(notice.vm)
        val listed = coordination.vms.mapTo(mutableSetOf()) { it.id }
        leaving.removeIf { it != notice.vm && it !in listed }
        return LeavingNoticeTaken
    }

    /** Marks this VM as leaving and tells every VM of the list; returns the VMs that did not answer. */
    public suspend fun announce(network: PeerNetwork): Set<VmId> {
        leaving.add(network.self)
        val peers = coordination.vms.map { it.id }.filter { it != network.self }
        val answers =
            coroutineScope {
                peers
                    .map { peer ->
                        async { network.ask(peer, LeavingNotice(network.self), NOTICE_TIMEOUT) }
                    }.awaitAll()
            }
        return peers.filterIndexedTo(mutableSetOf()) { index, _ -> answers[index] == null }
    }

    private companion object {
        val NOTICE_TIMEOUT = 1.seconds
    }
}
