import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, the machines with their processes, and the operator's manifest. */
final class Kit implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    /** The key of a second tenant. */
    static final String OTHER_KEY = "n2ctnfzs989anu6wsjnb";
    static final String SERVICE = "huvo11a";
    static final String[] ZONES = {"bzh-rennes", "bzh-brest", "bzh-vannes"};

    /** The parts of the rules in force, as the settings name them. */
    String contracts = "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"tenants\",\"quota\",\"places\",\"platform\"]";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final List<Vm> vms = new ArrayList<>();
    static {
        // A case that fails for another reason could not run.
        Thread.currentThread().setUncaughtExceptionHandler((thread, cause) -> {
            cause.printStackTrace();
            System.exit(2);
        });
    }

    private final PrintWriter record;
    private final Path work;
    private final long startedAt = System.nanoTime();
    private final int[] ports = freePorts(4);
    private final Random random = new Random();

    Kit(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        work = Files.createTempDirectory("agatestream-review");
        store = new Store("127.0.0.1");
        note("disruption " + (trouble ? "on" : "off"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::kill)));
    }

    synchronized void note(String text) {
        record.printf("%7.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String newId() {
        synchronized (random) {
            return String.format("%016x", random.nextLong());
        }
    }

    /** Ports that are free on all loopback addresses used; all machines have the same. */
    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket();
            socket.bind(new InetSocketAddress(InetAddress.getByName("0.0.0.0"), 0));
            held.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) socket.close();
        return ports;
    }

    /** One machine with its process. */
    final class Vm {
        final String name;
        final String ip;
        final String zone;
        final int number;
        /** The address at which the machine reaches the store. */
        String storeAddress = "127.0.0.1:" + store.port();
        /** The settings' `CpuShare` and `Cores`. */
        String cpuShare = "0.75";
        String cores = "2";
        private Process process;

        Vm(int number) {
            this.number = number;
            zone = ZONES[number % ZONES.length];
            name = "edge-" + zone + "-" + (number + 1);
            ip = "127.0.0." + (11 + number);
        }

        String front() {
            return ip + ":" + ports[0];
        }

        String ready() {
            return ip + ":" + ports[1];
        }

        String control() {
            return ip + ":" + ports[2];
        }

        String directory() {
            return ip + ":" + ports[3];
        }

        Path log() {
            return work.resolve(name + ".log");
        }

        /** Starts the process with the command of the deploy file. */
        void start(List<Vm> seeds) throws IOException {
            Path settings = work.resolve(name + ".json");
            Files.writeString(settings, render(this, seeds));
            ProcessBuilder builder = new ProcessBuilder(runCommand());
            Map<String, String> environment = builder.environment();
            Map<String, String> kept = new LinkedHashMap<>();
            for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (environment.containsKey(variable)) kept.put(variable, environment.get(variable));
            }
            environment.clear();
            environment.putAll(kept);
            environment.put("AGATESTREAM_SETTINGS", settings.toString());
            environment.put("AGATESTREAM_FLEET_SECRET", "replace-before-use");
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            note("started " + name + " as process " + process.pid());
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        long pid() {
            return process.pid();
        }

        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor(2, TimeUnit.SECONDS);
                note("sent " + signal + " to " + name);
            } catch (IOException | InterruptedException e) {
                note("could not signal " + name);
            }
        }

        /** Ends the process; goes by its id if the runtime takes it for ended although it is not. */
        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
                for (int tries = 0; tries < 3 && Files.exists(Path.of("/proc/" + process.pid())); tries++) {
                    new ProcessBuilder("kill", "-KILL", "" + process.pid()).start().waitFor(2, TimeUnit.SECONDS);
                    sleep(100);
                }
            } catch (IOException e) {
                note("could not end " + name);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isReady() {
            return Http.send(ready(), "GET", "/-/readiness", new byte[0], Map.of("Host", ip), 1000).status() == 200;
        }

        /** The lines of the process's log that contain [text]. */
        List<String> logged(String text) {
            try {
                return new String(Files.readAllBytes(log()), StandardCharsets.UTF_8).lines().filter(it -> it.contains(text)).toList();
            } catch (IOException e) {
                return List.of();
            }
        }
    }

    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("the deploy file has no run line");
    }

    /** Fills in the template of the deploy file. */
    private String render(Vm vm, List<Vm> seeds) throws IOException {
        String text = Files.readString(Path.of("deploy/settings.json"));
        Map<String, String> values = new LinkedHashMap<>();
        values.put("NodeName|json", quote(vm.name));
        values.put("Zone|json", quote(vm.zone));
        values.put("Listen.Front|json", quote(vm.front()));
        values.put("Listen.Ready|json", quote(vm.ready()));
        values.put("Listen.Control|json", quote(vm.control()));
        values.put("Listen.Directory|json", quote(vm.directory()));
        values.put("Ip", vm.ip);
        values.put("Seeds|json", Json.write(seeds.stream().limit(3).map(Vm::control).toList()));
        values.put("Platform.Address|json", quote(vm.storeAddress));
        values.put("Limits.CpuShare|json", vm.cpuShare);
        values.put("Limits.Cores|json", vm.cores);
        values.put("Platform.RowBytes|json", "65536");
        values.put("Bounds.GraceS|json", "8");
        values.put("Bounds.ttl_max_s|json", "5");
        values.put("Bounds.StatusS|json", "120");
        values.put("Contracts|json", contracts);
        for (Map.Entry<String, String> value : values.entrySet()) text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        if (text.contains("{{")) throw new IOException("a placeholder was not filled in");
        return text;
    }

    private static String quote(String text) {
        return "\"" + text + "\"";
    }

    /** Starts [count] machines and waits until all are ready; exits with 2 if they are not. */
    void startFleet(int count) throws IOException {
        addMachines(count);
        startFleet();
    }

    void addMachines(int count) {
        for (int i = 0; i < count; i++) vms.add(new Vm(i));
    }

    /** Starts all machines and waits until they are ready; exits with 2 if they are not. */
    void startFleet() throws IOException {
        for (Vm vm : vms) vm.start(vms);
        for (int wait = 0; wait < 150; wait++) {
            if (vms.stream().allMatch(Vm::isReady)) {
                note("all machines are ready");
                return;
            }
            sleep(200);
        }
        cannotRun("the machines did not become ready");
    }

    void cannotRun(String reason) {
        note("the case could not run: " + reason);
        System.out.println("could not run: " + reason);
        close();
        System.exit(2);
    }

    /** Ends the case with the verdict. */
    void finish(boolean held, String verdict) {
        note((held ? "held: " : "BROKEN: ") + verdict);
        System.out.println((held ? "held: " : "broken: ") + verdict);
        close();
        System.exit(held ? 0 : 1);
    }

    @Override
    public void close() {
        vms.forEach(Vm::kill);
        store.close();
        record.flush();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + work);
            return;
        }
        try (var files = Files.list(work)) {
            for (Path file : files.toList()) Files.delete(file);
            Files.delete(work);
        } catch (IOException e) {
            // Left in the temporary folder.
        }
    }

    /** A manifest like that of the small deployment's sheet, with a stream route, a resumable one and a batch route. */
    static String manifest(int version) {
        return "{\"Version\":" + version + ",\"Routes\":["
            + route("ask", "/lohu930/", "stream", "\"TimeoutMs\":5000,\"SloMs\":300,\"Priority\":0,\"MaxAttempts\":1,\"Resumable\":false,\"GapTargetMs\":400")
            + "," + route("look", "/pufi791/", "stream", "\"TimeoutMs\":5000,\"SloMs\":300,\"Priority\":0,\"MaxAttempts\":2,\"Resumable\":true,\"GapTargetMs\":400")
            + "," + route("plan", "/pule252/", "batch", "\"TimeoutMs\":4000,\"SloMs\":400,\"Priority\":1,\"MaxAttempts\":3,\"Resumable\":true,\"CompletionTargetMs\":18000,\"KeepS\":54,\"MaxCount\":780000")
            + "],\"Services\":[{\"Name\":\"" + SERVICE + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":620,\"Protocol\":\"h1\",\"Tls\":false,"
            + "\"ColdStartS\":3.0,\"ColdPerS\":47.0,\"Engine\":{\"Slots\":8,\"KvCapacity\":72000,\"Models\":[{\"Name\":\"m\"}]}}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"kaje80\",\"ApiKeys\":[\"" + KEY + "\"],\"Priority\":1},"
            + "{\"Name\":\"lore27\",\"ApiKeys\":[\"" + OTHER_KEY + "\"],\"Priority\":1}]}";
    }

    private static String route(String name, String prefix, String type, String more) {
        return "{\"Name\":\"" + name + "\",\"Hostname\":\"" + HOST + "\",\"Prefix\":\"" + prefix + "\",\"Type\":\"" + type
            + "\",\"Public\":false,\"Sticky\":true,\"Service\":\"" + SERVICE + "\"," + more + "}";
    }

    /** Headers of a request for tokens. */
    Map<String, String> headers(String id, int tokensIn, int tokensOut) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Agatestream-Attempt-Id", id);
        headers.put("X-Agatestream-Model", "m");
        headers.put("X-Agatestream-Token-Usage", tokensIn + "," + tokensOut);
        headers.put("X-Agatestream-Prompt-Prefix", "5c1e07a2:200," + id.substring(0, 8) + ":" + (tokensIn - 200));
        headers.put("X-Agatestream-Deadline-Ms", "5000");
        headers.put("Api-Key", KEY);
        return headers;
    }
}
