package org.agatestream.server

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.agatestream.core.ItemOutcome
import org.agatestream.core.RunOutcome
import org.agatestream.core.ServiceId
import org.agatestream.core.placement.DomainFlow
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import java.time.Duration as JavaDuration

/** The counters and latency histograms of a VM on the users' platform. */
internal class VmMetrics {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val firstEvent = histogram("agatestream.first.event", "From the receipt of a request to its first event")
    private val requestDuration =
        histogram("agatestream.request", "From the receipt of a request to the end of its answer")
    private val storeCallDuration = histogram("agatestream.store.call", "Time that a call to the store took")

    /** Counts a request that ended with [outcome], such as `answered` or `refused`, for the reason [detail]. */
    fun onRequest(
        route: String,
        outcome: String,
        detail: String,
        took: Duration,
    ) {
        registry.counter("agatestream.requests", "route", route, "outcome", outcome, "detail", detail).increment()
        requestDuration.record(took.toJavaDuration())
    }

    fun onFirstEvent(after: Duration) {
        firstEvent.record(after.toJavaDuration())
    }

    /** Counts a run at a backend server. */
    fun onRun(outcome: RunOutcome) {
        registry.counter("agatestream.runs", "outcome", outcome.name.lowercase()).increment()
    }

    /** Counts runs that the coordinator sent to another failure domain. */
    fun onDomainFlow(
        flow: DomainFlow,
        count: Int,
    ) {
        val reason = flow.reason.name.lowercase()
        registry
            .counter("agatestream.domain.sent", "from", flow.from.value, "to", flow.to.value, "reason", reason)
            .increment(count.toDouble())
    }

    fun onItem(outcome: ItemOutcome) {
        registry.counter("agatestream.items", "outcome", outcome.name.lowercase()).increment()
    }

    fun onStoreCall(
        answered: Boolean,
        took: Duration,
    ) {
        registry.counter("agatestream.store.calls", "answered", answered.toString()).increment()
        storeCallDuration.record(took.toJavaDuration())
    }

    /** Registers a gauge [name], with the label [tag] if there is one, that shows the value of [read]. */
    fun gauge(
        name: String,
        tag: Pair<String, String>? = null,
        read: () -> Number,
    ) {
        val gauge = Gauge.builder(name) { read() }
        tag?.let { (key, value) -> gauge.tag(key, value) }
        gauge.register(registry)
    }

    /** Registers a gauge [name] of [service] that shows the value of [read]. */
    fun serviceGauge(
        name: String,
        service: ServiceId,
        read: () -> Number,
    ) {
        Gauge.builder(name) { read() }.tag("service", service.value).register(registry)
    }

    private fun histogram(
        name: String,
        description: String,
    ): Timer =
        Timer
            .builder(name)
            .description(description)
            .serviceLevelObjectives(*BUCKETS)
            .register(registry)

    private companion object {
        // Around the latency targets of 300 and 400 ms, the pauses of 400 ms and the timeouts of 4 and 5 s.
        val BUCKETS: Array<JavaDuration> =
            longArrayOf(10, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 4_000, 5_000)
                .map { JavaDuration.ofMillis(it) }
                .toTypedArray()
    }
}
