package org.agatestream.server

import org.agatestream.http.HttpCall

/** A group of HTTP routes with a common handler. */
public fun interface HttpRoutes {
    /** Handles [call] and returns true, or returns false if its path belongs to another group. */
    public suspend fun handle(call: HttpCall): Boolean
}
