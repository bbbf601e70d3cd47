package org.agatestream.http

/** The requests that one connection has carried; used by the owner of the connection only. */
internal class CarriedRequests {
    // Hash codes of the echoed headers; a collision only costs a new connection.
    private var hashes = IntArray(INITIAL_CAPACITY)

    /** The number of requests so far. */
    var count: Int = 0
        private set

    /** True if the connection must not carry another request, because this cannot remember more. */
    val isFull: Boolean get() = count >= MAX_REQUESTS

    /** Adds a request with this echoed header, or without one. */
    fun add(echoedHeader: Pair<String, String>?) {
        if (count == hashes.size) hashes = hashes.copyOf(count * 2)
        hashes[count++] = echoedHeader.hashCode()
    }

    /** Returns whether a late copy of an earlier response may have this header. */
    fun mayContain(echoedHeader: Pair<String, String>): Boolean {
        val hash = echoedHeader.hashCode()
        return (0 until count).any { hashes[it] == hash }
    }

    private companion object {
        const val INITIAL_CAPACITY = 8
        const val MAX_REQUESTS = 1_024
    }
}
