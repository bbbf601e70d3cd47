package org.agatestream.cli

import java.io.File
import org.agatestream.cli.main as runProgram

/**
 * Loads the classes that the file in the first argument names, one a line, and runs the program by the other arguments.
 *
 * The build runs it to archive classes that a VM loads only once it serves, so that a start does not read them from the
 * jar. Names that are no more known are left out: a stale list makes starts slower and breaks nothing.
 */
internal object ArchiveMain {
    @JvmStatic
    fun main(args: Array<String>) {
        File(args.first()).forEachLine { load(it) }
        runProgram(args.drop(1).toTypedArray())
    }

    private fun load(name: String) {
        try {
            Class.forName(name, false, ArchiveMain::class.java.classLoader)
        } catch (e: ClassNotFoundException) {
            System.err.println("not archived, as there is no such class: ${e.message}")
        } catch (e: LinkageError) {
            System.err.println("not archived: $name: ${e.message}")
        }
    }
}
