package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.tinylog.kotlin.Logger
import org.tinylog.provider.ProviderRegistry

/** Writes one line of key=value pairs per event; values must hold no caller's key, body or text. */
public object EventLog {
    // A VM at peak load handles about 100 requests and items per second, with up to three lines each.
    private val rateLimiter = LogRateLimiter(linesPerSecond = 500)

    /** Logs an event of ordinary operation. */
    public fun info(
        event: String,
        vararg pairs: Pair<String, Any?>,
    ) {
        ifWithinRateLimit { Logger.info { format(event, pairs) } }
    }

    /** Logs an event that an operator should look at. */
    public fun warn(
        event: String,
        vararg pairs: Pair<String, Any?>,
    ) {
        ifWithinRateLimit { Logger.warn { format(event, pairs) } }
    }

    /** Logs a fault of the program; never dropped. */
    public fun error(
        event: String,
        cause: Throwable,
        vararg pairs: Pair<String, Any?>,
    ) {
        Logger.error(cause) { format(event, pairs) }
    }

    /** Flushes buffered lines and shuts logging down. */
    public fun close() {
        ProviderRegistry.getLoggingProvider().shutdown()
    }

    /** Drops lines beyond the rate limit, and reports their number with the next line. */
    private inline fun ifWithinRateLimit(log: () -> Unit) {
        val dropped = rateLimiter.admit(MonotonicTime.now()) ?: return
        if (dropped > 0) Logger.warn { "event=lines_dropped count=$dropped" }
        log()
    }

    private fun format(
        event: String,
        pairs: Array<out Pair<String, Any?>>,
    ): String = pairs.joinToString(" ", prefix = "event=$event ") { (key, value) -> "$key=${quote(value)}" }.trimEnd()

    private fun quote(value: Any?): String {
        val text = value.toString()
        val plain = text.isNotEmpty() && text.none { it.isWhitespace() || it == '"' || it == '=' }
        return if (plain) text else "\"" + text.replace("\"", "\\\"").replace("\n", "\\n") + "\""
    }
}
