import java.nio.file.Path;

/** Runs one case and ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
final class Case {
    interface Body {
        /** Returns whether the rule held. */
        boolean run(boolean isTroubled) throws Exception;
    }

    private static final long MAX_MS = 117_000;

    private Case() {}

    private static void endInTime() {
        try {
            Thread.sleep(MAX_MS);
        } catch (InterruptedException e) {
            return;
        }
        Record.log("the case took too long");
        System.exit(2);
    }

    static void main(String[] args, Body body) {
        int status = 2;
        Http.daemon(Case::endInTime);
        try {
            Record.open(Path.of(args[0], "record.txt"));
            boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
            Record.log("TROUBLE=%d", isTroubled ? 1 : 0);
            status = body.run(isTroubled) ? 0 : 1;
            Record.log(status == 0 ? "HELD" : "BROKEN");
        } catch (Throwable e) {
            Record.log("the case couldn't run: %s", e);
            e.printStackTrace();
        }
        System.exit(status);
    }
}
