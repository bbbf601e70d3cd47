package org.agatestream.server

import org.agatestream.http.HttpCall

/** A group of HTTP routes that one area of the server answers. */
public fun interface HttpRoutes {
    /** Answers [call] and returns true, or returns false if the path is none of this group's. */
    public suspend fun handle(call: HttpCall): Boolean
}
