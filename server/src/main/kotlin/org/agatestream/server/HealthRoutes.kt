package org.agatestream.server

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.agatestream.http.HttpCall

/** Serves liveness, readiness and Prometheus metrics without authentication. */
public class HealthRoutes(
    private val registry: PrometheusMeterRegistry,
    private val isReady: () -> Boolean,
) : HttpRoutes {
    override suspend fun handle(call: HttpCall): Boolean {
        when (call.path) {
            "/health/live" -> call.respondText(STATUS_OK, "live")
            "/health/ready" -> respondReadiness(call)
            "/metrics" -> call.respondText(STATUS_OK, registry.scrape())
            else -> return false
        }
        return true
    }

    private suspend fun respondReadiness(call: HttpCall) {
        if (isReady()) call.respondText(STATUS_OK, "ready") else call.respondText(STATUS_UNAVAILABLE, "not ready")
    }

    private suspend fun HttpCall.respondText(
        status: Int,
        text: String,
    ) {
        respond(status, "text/plain; charset=utf-8", text.encodeToByteArray())
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
    }
}
