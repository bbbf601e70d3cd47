package org.agatestream.server

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import org.agatestream.core.VmId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Tells a peer that [vm] accepts no new callers from now on. */
@Serializable
public data class LeavingNotice(
    val vm: VmId,
) : PeerRequest

/** Acknowledges a [LeavingNotice]. */
@Serializable
public data object LeavingNoticeTaken : PeerResponse

/** The VMs that are known to be leaving while the platform still lists them. */
public class LeavingVms(
    private val coordination: Coordination,
) {
    private val leaving = ConcurrentHashMap.newKeySet<VmId>()

    /** Returns the leaving VMs. */
    public fun current(): Set<VmId> = leaving.toSet()

    /** Records the notice of a peer, and forgets other VMs that the platform no longer lists. */
    public fun record(notice: LeavingNotice): PeerResponse {
        leaving.add(notice.vm)
        val listed = coordination.vms.mapTo(mutableSetOf()) { it.id }
        leaving.removeIf { it != notice.vm && it !in listed }
        return LeavingNoticeTaken
    }

    /** Marks this VM as leaving and notifies all listed VMs; returns those that did not answer. */
    public suspend fun announce(network: PeerNetwork): Set<VmId> {
        leaving.add(network.self)
        val peers = coordination.vms.map { it.id }.filter { it != network.self }
        val answers =
            coroutineScope {
                peers
                    .map { peer ->
                        async { network.call(peer, LeavingNotice(network.self), NOTICE_TIMEOUT) }
                    }.awaitAll()
            }
        return peers.filterIndexedTo(mutableSetOf()) { index, _ -> answers[index] == null }
    }

    private companion object {
        val NOTICE_TIMEOUT = 1.seconds
    }
}
