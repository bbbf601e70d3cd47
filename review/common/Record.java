import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the script in seconds. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** The time since the start of the script in seconds. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void log(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values);
        if (out != null) out.println(line);
        System.out.println(line);
    }
}
