package org.agatestream.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes answers and leaves out the body of an answer to `HEAD`. */
internal class ResponseEncoder : HttpResponseEncoder() {
    /** True while the request under way is a `HEAD`; set on the event loop. */
    var headRequest: Boolean = false

    override fun isContentAlwaysEmpty(msg: HttpResponse): Boolean = headRequest || super.isContentAlwaysEmpty(msg)
}
