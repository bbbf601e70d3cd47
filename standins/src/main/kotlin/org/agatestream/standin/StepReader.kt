package org.agatestream.standin

import kotlin.time.Duration

/** Reports a syntax error in a step. */
internal class StepSyntaxException(
    message: String,
) : Exception(message)

/**
 * Tokenizes one step: words, flags, options as `name=value`, and JSON from the first `{` to the end of the line.
 *
 * Each read consumes what it returns; [finish] fails if anything remains.
 */
internal class StepReader(
    text: String,
) {
    private val jsonStart = text.indexOf(" {").let { if (it < 0) text.length else it }
    private val words = ArrayDeque<String>()
    private val options = LinkedHashMap<String, String>()

    /** The JSON at the end of the line, or null. */
    private var json: String? = text.substring(jsonStart).trim().ifEmpty { null }

    init {
        text
            .take(jsonStart)
            .split(' ')
            .filter { it.isNotEmpty() }
            .forEach(::add)
    }

    /** Consumes the next word; [what] describes it in the error message if there is none. */
    fun word(what: String): String =
        words.removeFirstOrNull() ?: throw StepSyntaxException("expected $what, found nothing more")

    fun rest(): List<String> = words.toList().also { words.clear() }

    /** Consumes the next word if it is [word] and returns whether it was. */
    fun take(word: String): Boolean {
        if (words.firstOrNull() != word) return false
        words.removeFirst()
        return true
    }

    /** Consumes the word [name] at any position and returns whether it was present. */
    fun flag(name: String): Boolean = words.remove(name)

    fun option(name: String): String? = options.remove(name)

    fun requiredOption(name: String): String = option(name) ?: throw StepSyntaxException("the option $name= is missing")

    fun int(
        name: String,
        default: Int,
    ): Int = option(name)?.let { parse(it, "a whole number", String::toIntOrNull) } ?: default

    fun double(
        name: String,
        default: Double,
    ): Double = option(name)?.let { parse(it, "a number", String::toDoubleOrNull) } ?: default

    fun duration(
        name: String,
        default: Duration,
    ): Duration = option(name)?.let { parse(it, DURATION, Duration::parseOrNull) } ?: default

    fun intWord(): Int = parse(word("a whole number"), "a whole number", String::toIntOrNull)

    fun durationWord(): Duration = parse(word(DURATION), DURATION, Duration::parseOrNull)

    fun json(): String? = json.also { json = null }

    fun requiredJson(): String = json() ?: throw StepSyntaxException("expected JSON in braces at the end of the line")

    fun finish() {
        words.firstOrNull()?.let { throw StepSyntaxException("unexpected \"$it\"") }
        options.keys.firstOrNull()?.let { throw StepSyntaxException("unknown option $it=") }
        json?.let { throw StepSyntaxException("unexpected JSON") }
    }

    private fun add(word: String) {
        val name = word.substringBefore('=')
        val isOption = '=' in word && OPTION_NAME.matches(name)
        if (isOption) options[name] = word.substringAfter('=') else words.add(word)
    }

    private fun <T> parse(
        text: String,
        what: String,
        convert: (String) -> T?,
    ): T = convert(text) ?: throw StepSyntaxException("expected $what, found \"$text\"")

    private companion object {
        const val DURATION = "a duration such as 2s or 200ms"
        val OPTION_NAME = Regex("[a-z][a-z-]*")
    }
}
