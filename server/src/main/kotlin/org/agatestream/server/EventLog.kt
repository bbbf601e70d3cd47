package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.tinylog.kotlin.Logger
import org.tinylog.provider.ProviderRegistry

/** Writes one line of key=value pairs for each event; values hold no key, no body and no text of a caller. */
public object EventLog {
    // A VM at its peak decides on some 100 requests and items a second, with up to three lines each.
    private val budget = LineBudget(linesPerSecond = 500)

    /** Logs an event of ordinary operation. */
    public fun info(
        event: String,
        vararg pairs: Pair<String, Any?>,
    ) {
        ifWithinBudget { Logger.info { format(event, pairs) } }
    }

    /** Logs an event that an operator should look at. */
    public fun warn(
        event: String,
        vararg pairs: Pair<String, Any?>,
    ) {
        ifWithinBudget { Logger.warn { format(event, pairs) } }
    }

    /** Logs a failure of the program itself. */
    public fun error(
        event: String,
        cause: Throwable,
        vararg pairs: Pair<String, Any?>,
    ) {
        Logger.error(cause) { format(event, pairs) }
    }

    /** Writes out what is buffered; nothing can be logged afterwards. */
    public fun close() {
        ProviderRegistry.getLoggingProvider().shutdown()
    }

    /** Errors are always logged; other lines only as far as the writer keeps up. */
    private inline fun ifWithinBudget(log: () -> Unit) {
        val dropped = budget.take(MonotonicTime.now()) ?: return
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
