package org.agatestream.server

import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.http.HttpCall
import org.agatestream.http.respondFailure

/** Dispatches each call to the first group of routes that handles its path. */
public class Router(
    private val routes: List<HttpRoutes>,
    private val shutdown: GracefulShutdown,
) {
    /**
     * Handles [call], with an error response if no group does or this VM is shutting down.
     *
     * A call that outlasts the shutdown is cancelled; it is answered as of unknown outcome unless a response has begun.
     */
    public suspend fun handle(call: HttpCall) {
        if (shutdown.isRefusingRequests()) {
            call.respondFailure(Failure(ErrorKind.SHUTTING_DOWN, "this VM is shutting down"))
            return
        }
        val isDone = runUntilCompleted(shutdown.closed) { dispatch(call) } != null
        if (!isDone && !call.isResponseStarted) call.respondFailure(CUT_BY_SHUTDOWN)
    }

    private suspend fun dispatch(call: HttpCall) {
        if (routes.any { it.handle(call) }) return
        call.respondFailure(Failure(ErrorKind.UNKNOWN_ROUTE, "there is no such route"))
    }
}
