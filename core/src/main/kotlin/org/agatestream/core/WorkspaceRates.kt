package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The rates and bursts of workspaces, as far as they are given out here. */
internal class WorkspaceRates {
    private val buckets = HashMap<WorkspaceId, RateBucket>()
    private var manifest: Manifest? = null
    private var share = 1.0
    private var spareBurst = 0.0

    fun onManifest(manifest: Manifest) {
        this.manifest = manifest
        buckets.keys.removeAll { manifest.workspace(it) == null }
    }

    /** Gives out only [share] of each rate and burst, and [spareBurst] requests of each workspace beyond that. */
    fun onShare(
        share: Double,
        spareBurst: Double,
    ) {
        this.share = share
        this.spareBurst = spareBurst
    }

    /** Returns how long [id] has to wait for its next token, or null if it has one or needs none. */
    fun waitForToken(
        id: WorkspaceId,
        now: MonotonicTime,
    ): Duration? {
        val spec = manifest?.workspace(id) ?: return null
        if (spec.ratePerSecond <= 0.0) return null
        val rate = spec.ratePerSecond * share
        val burst = spec.burst * share
        val known = buckets[id] ?: RateBucket.start(burst, spareBurst, now)
        val bucket = known.fill(rate, burst + spareBurst, now)
        buckets[id] = bucket
        return if (bucket.hasToken) null else bucket.secondsToToken(rate).seconds
    }

    /** Takes a token of [id]. */
    fun take(id: WorkspaceId) {
        buckets.computeIfPresent(id) { _, bucket -> bucket.take() }
    }

    /** Gives back the token of a request that did not run. */
    fun giveBack(id: WorkspaceId) {
        buckets.computeIfPresent(id) { _, bucket -> bucket.giveBack() }
    }
}
