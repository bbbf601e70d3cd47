package org.agatestream.server

import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.http.HttpCall
import org.agatestream.http.respondFailure

/** Hands each call to the group of routes that its path belongs to. */
public class Router(
    private val routes: List<HttpRoutes>,
    private val shutdown: GracefulShutdown,
) {
    /** Answers [call]. */
    public suspend fun handle(call: HttpCall) {
        if (shutdown.refusesRequests()) {
            call.respondFailure(Failure(ErrorKind.SHUTTING_DOWN, "this VM is shutting down"))
            return
        }
        if (routes.any { it.handle(call) }) return
        call.respondFailure(Failure(ErrorKind.UNKNOWN_ROUTE, "there is no such route"))
    }
}
