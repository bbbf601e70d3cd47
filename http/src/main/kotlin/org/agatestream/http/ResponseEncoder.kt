package org.agatestream.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes responses and omits the body of a response to `HEAD`. */
internal class ResponseEncoder : HttpResponseEncoder() {
    /** True while the current request is a `HEAD`; set on the event loop. */
    var isHeadRequest: Boolean = false

    override fun isContentAlwaysEmpty(msg: HttpResponse): Boolean = isHeadRequest || super.isContentAlwaysEmpty(msg)
}
