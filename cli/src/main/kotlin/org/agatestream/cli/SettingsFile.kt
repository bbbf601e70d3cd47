package org.agatestream.cli

import kotlinx.serialization.KSerializer
import org.agatestream.core.ParsedSettings
import org.agatestream.core.parseSettings
import java.io.File
import java.io.IOException

/** Reads a file, or standard input for `-`; prints an error and returns null if it cannot be read. */
internal fun readInput(file: String): ByteArray? =
    try {
        if (file == "-") System.`in`.readBytes() else File(file).readBytes()
    } catch (e: IOException) {
        System.err.println("$file: ${e.message}")
        null
    }

/** Parses a settings file and runs [action] on the result, or prints all validation errors. */
internal inline fun <T> withSettings(
    serializer: KSerializer<T>,
    file: String,
    action: (T) -> ExitStatus,
): ExitStatus {
    val text = readInput(file)?.decodeToString() ?: return ExitStatus.BAD_USE
    return when (val parsed = parseSettings(serializer, file, text)) {
        is ParsedSettings.Valid -> action(parsed.value)
        is ParsedSettings.Invalid -> parsed.printFaults()
    }
}

/** Prints each validation error on a separate line. */
internal fun ParsedSettings.Invalid.printFaults(): ExitStatus {
    faults.forEach { System.err.println(it) }
    return ExitStatus.BAD_USE
}
