package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Rate limiters of all workspaces, for the share of each rate that this coordinator grants. */
internal class WorkspaceRates {
    private val buckets = HashMap<WorkspaceId, RateBucket>()
    private var manifest: Manifest? = null
    private var share = 1.0
    private var extraBurst = 0.0

    fun onManifest(manifest: Manifest) {
        this.manifest = manifest
        buckets.keys.removeAll { manifest.workspace(it) == null }
    }

    /** Limits each rate and burst to [share], plus [extraBurst] extra requests for each workspace. */
    fun onShare(
        share: Double,
        extraBurst: Double,
    ) {
        this.share = share
        this.extraBurst = extraBurst
    }

    /** Returns the time until the next token of [id], or null if a token is available or none is needed. */
    fun timeToToken(
        id: WorkspaceId,
        now: MonotonicTime,
    ): Duration? {
        val spec = manifest?.workspace(id) ?: return null
        if (spec.ratePerSecond <= 0.0) return null
        val rate = spec.ratePerSecond * share
        val burst = spec.burst * share
        val known = buckets[id] ?: RateBucket.start(burst, extraBurst, now)
        val bucket = known.refill(rate, burst + extraBurst, now)
        buckets[id] = bucket
        return if (bucket.hasToken) null else bucket.secondsToToken(rate).seconds
    }

    /** Takes a token of [id]. */
    fun take(id: WorkspaceId) {
        buckets.computeIfPresent(id) { _, bucket -> bucket.take() }
    }

    /** Refunds the token of a request that did not run. */
    fun refund(id: WorkspaceId) {
        buckets.computeIfPresent(id) { _, bucket -> bucket.refund() }
    }
}
