import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, the clock, the VMs, and calls of clients. */
final class Lib {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path ROOT = Path.of(System.getProperty("root"));
    static final Path CASE = Path.of(System.getProperty("case"));
    private static final long STARTED = System.nanoTime();
    private static PrintWriter record;
    private static Path temp;
    private static final List<Vm> VMS = new ArrayList<>();

    private Lib() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the process has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Milliseconds since the start of the script. */
    static long now() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    static synchronized void note(String text) {
        String line = String.format("%7.3f %s", now() / 1000.0, text);
        record.println(line);
        record.flush();
        System.out.println(line);
    }

    /** Runs a case and ends the program with its result: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
    static void run(java.util.concurrent.Callable<Integer> body) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(CASE.resolve("record.txt")));
        temp = Files.createTempDirectory("review-3");
        Runtime.getRuntime().addShutdownHook(new Thread(Lib::endAll));
        int result;
        try {
            note("TROUBLE=" + (TROUBLE ? 1 : 0));
            result = body.call();
        } catch (Throwable e) {
            note("the case could not run: " + e);
            e.printStackTrace();
            result = 2;
        }
        note("exit " + result);
        System.exit(result);
    }

    private static void endAll() {
        for (Vm vm : VMS) vm.kill();
        try (var files = Files.walk(temp)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
        } catch (IOException e) {
            // The folder is gone.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, Http.LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** One machine of the system: a process that is started with the command of the deploy file. */
    static final class Vm {
        final String name;
        final int front;
        final int control;
        private final Path settings;
        private Process process;

        Vm(String name, String zone, int storePort, List<Integer> seeds, int control) throws IOException {
            this.name = name;
            this.front = freePort();
            this.control = control;
            List<Object> seedAddresses = new ArrayList<>();
            for (int seed : seeds) seedAddresses.add("127.0.0.1:" + seed);
            Map<String, Object> json = Json.map(
                "name", name,
                "failureDomain", zone,
                "callerAddress", "127.0.0.1:" + front,
                "entryAddress", "127.0.0.1:" + freePort(),
                "readyAddress", "127.0.0.1:" + freePort(),
                "peerAddress", "127.0.0.1:" + control,
                "metricsAddress", "127.0.0.1:" + freePort(),
                "seedPeers", seedAddresses,
                "storeAddress", "127.0.0.1:" + storePort,
                "coreShare", 0.75,
                "coreSpeed", 2,
                "rowBytes", 65536,
                "shutdownGraceSeconds", 8,
                "entryTtlMaxSeconds", 5,
                "resultsKeptSeconds", 120,
                "contracts", List.of("base", "drain", "config", "cost", "recover", "batch", "stream", "engine",
                    "tenants", "quota", "places", "platform"));
            settings = temp.resolve(name + ".json");
            Files.writeString(settings, Json.write(json));
            VMS.add(this);
        }

        void start() throws IOException {
            String run = Files.readAllLines(ROOT.resolve("deploy/system.toml")).stream()
                .filter(it -> it.startsWith("run = ")).findFirst().orElseThrow();
            String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" ")));
            builder.directory(ROOT.toFile());
            builder.environment().put("AGATESTREAM_SETTINGS", settings.toString());
            builder.environment().put("AGATESTREAM_FLEET_SECRET", "replace-before-use");
            builder.redirectErrorStream(true);
            Path log = Path.of(System.getProperty("logs", temp.toString())).resolve(name + ".log");
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            note("started " + name + " with pid " + process.pid());
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            note("sent SIG" + signal + " to " + name);
        }

        void awaitEnd(int seconds) throws Exception {
            process.waitFor(seconds, TimeUnit.SECONDS);
        }

        void kill() {
            if (process != null) process.destroyForcibly();
        }

        /** Waits until this VM answers a request to a route that never existed with 404, as it knows the manifest. */
        void awaitServing() throws Exception {
            for (int i = 0; i < 300; i++) {
                Http.Message answer = Http.call(front, 500, "GET", "/never/1", new byte[0], "Host", "h.example",
                    "X-Agatestream-Attempt-Id", "probe" + i, "Api-Key", "key-a");
                if (answer != null && answer.status() == 404) return;
                Thread.sleep(100);
            }
            throw new IllegalStateException(name + " does not serve");
        }
    }

    static String hex(long value) {
        return String.format("%016x", value);
    }

    /** The body of a batch job of [items] items whose ids begin with [job]. */
    static byte[] job(String job, int items, int bodyBytes, int tokens) {
        String body = Base64.getEncoder().encodeToString(new byte[bodyBytes]);
        StringBuilder text = new StringBuilder("{\"Requests\":[");
        for (int i = 0; i < items; i++) {
            String id = job.substring(0, 12) + String.format("%04x", i);
            text.append(i == 0 ? "" : ",").append("{\"Id\":\"").append(id).append("\",\"Path\":\"/lot/").append(i)
                .append("\",\"Headers\":{\"X-Agatestream-Model\":\"m\",\"X-Agatestream-Token-Usage\":\"300,200\",")
                .append("\"X-Agatestream-Prompt-Prefix\":\"5c1e07a2:100,").append(id, 4, 16).append(":200\"},")
                .append("\"Body\":\"").append(body).append("\",\"Tokens\":").append(tokens).append('}');
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    static Http.Message submit(Vm vm, String key, String job, byte[] body, int timeoutMs) {
        return Http.call(vm.front, timeoutMs, "POST", "/lot/" + job, body, "Host", "h.example", "Api-Key", key,
            "X-Agatestream-Attempt-Id", job, "Content-Type", "application/json", "X-Agatestream-Deadline-Ms", 4000);
    }

    static Http.Message read(Vm vm, String key, String job, int after) {
        return Http.call(vm.front, 2500, "GET", "/-/lots/" + job + "?After=" + after, new byte[0], "Host", "h.example",
            "Api-Key", key, "X-Agatestream-Wait-Ms", 1000, "X-Agatestream-Deadline-Ms", 2000);
    }

    static Http.Message end(Vm vm, String key, String job) {
        return Http.call(vm.front, 4500, "DELETE", "/-/lots/" + job, new byte[0], "Host", "h.example",
            "Api-Key", key, "X-Agatestream-Deadline-Ms", 4000);
    }

    static Http.Message ask(Vm vm, String key, String id, String path) {
        return Http.call(vm.front, 6000, "POST", path, "question".getBytes(), "Host", "h.example", "Api-Key", key,
            "X-Agatestream-Attempt-Id", id, "X-Agatestream-Deadline-Ms", 5000, "X-Agatestream-Model", "m",
            "X-Agatestream-Token-Usage", "450,32", "X-Agatestream-Prompt-Prefix",
            "5c1e07a2:100,91bd3f06:100," + id.substring(id.length() - 8) + ":250");
    }

    static String status(Http.Message answer) {
        return answer == null ? "no answer" : answer.status() + (answer.isWhole ? "" : ", cut");
    }

    /** A manifest with an online route, a batch route and the tenants. */
    static String manifest(long version, long maxCount, Map<String, List<String>> tenants, String... moreRoutes) {
        StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"Routes\":["
            + "{\"Name\":\"ask\",\"Hostname\":\"h.example\",\"Prefix\":\"/ask/\",\"Type\":\"stream\",\"Service\":\"llm\","
            + "\"SloMs\":300,\"TimeoutMs\":5000,\"MaxAttempts\":1,\"Priority\":0,\"Sticky\":true,\"GapTargetMs\":400},"
            + "{\"Name\":\"lot\",\"Hostname\":\"h.example\",\"Prefix\":\"/lot/\",\"Type\":\"batch\",\"Service\":\"llm\","
            + "\"SloMs\":400,\"TimeoutMs\":15000,\"CompletionTargetMs\":18000,\"KeepS\":60,\"MaxAttempts\":3,"
            + "\"Priority\":2,\"MaxCount\":" + maxCount + "}");
        for (String route : moreRoutes) text.append(',').append(route);
        text.append("],\"Services\":[{\"Name\":\"llm\"}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            + "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000},\"Tenants\":[");
        String comma = "";
        for (Map.Entry<String, List<String>> tenant : tenants.entrySet()) {
            text.append(comma).append(Json.write(Json.map("Name", tenant.getKey(), "ApiKeys", tenant.getValue(),
                "RatePerS", 0, "Burst", 0)));
            comma = ",";
        }
        return text.append("]}").toString();
    }
}
