import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The VMs of a small deployment, as processes with the deploy file's command and the settings of its template. */
final class Fleet implements AutoCloseable {
    static final class Vm {
        String name;
        String ip;
        final Map<String, Object> settings = new HashMap<>();
        Process process;
        File log;

        String front() {
            return (String) settings.get("Listen.Front");
        }

        String directory() {
            return (String) settings.get("Listen.Directory");
        }

        String ready() {
            return (String) settings.get("Listen.Ready");
        }
    }

    final List<Vm> vms = new ArrayList<>();
    private final Store store;
    private final Path folder;
    private final String[] command;
    private final Map<String, String> environment = new HashMap<>();

    Fleet(Store store, int count) throws IOException {
        this.store = store;
        folder = Files.createTempDirectory("review");
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        command = find(deploy, "run = \"([^\"]*)\"").split(" ");
        Matcher env = Pattern.compile("(\\w+) = \"([^\"]*)\"").matcher(find(deploy, "env = \\{([^}]*)\\}"));
        while (env.find()) environment.put(env.group(1), env.group(2));
        int net = 16 + (int) (ProcessHandle.current().pid() % 200);
        int sub = 1 + (int) (System.nanoTime() / 1000 % 250);
        for (int i = 1; i <= count; i++) vms.add(describe("edge-z" + i + "-1", "z" + i, "127." + net + "." + sub + "." + i));
        List<Object> seeds = new ArrayList<>();
        for (Vm vm : vms) if (seeds.size() < 3) seeds.add(vm.settings.get("Listen.Control"));
        for (Vm vm : vms) vm.settings.put("Seeds", seeds);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private static String find(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) throw new IllegalStateException("deploy/system.toml lacks " + pattern);
        return matcher.group(1);
    }

    private Vm describe(String name, String zone, String ip) throws IOException {
        Vm vm = new Vm();
        vm.name = name;
        vm.ip = ip;
        vm.settings.put("NodeName", name);
        vm.settings.put("Zone", zone);
        vm.settings.put("Ip", ip);
        List<ServerSocket> held = new ArrayList<>();
        for (String use : List.of("Front", "Ready", "Control", "Directory")) {
            ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(ip));
            held.add(free);
            vm.settings.put("Listen." + use, ip + ":" + free.getLocalPort());
        }
        for (ServerSocket each : held) each.close();
        vm.settings.put("Platform.Address", store.listen(name));
        vm.settings.put("Platform.RowBytes", 65536);
        vm.settings.put("Limits.CpuShare", 0.75);
        vm.settings.put("Limits.Cores", 2);
        vm.settings.put("Bounds.GraceS", 8);
        vm.settings.put("Bounds.ttl_max_s", 5);
        vm.settings.put("Bounds.StatusS", 120);
        return vm;
    }

    void start(Vm vm) throws IOException {
        Matcher field = Pattern.compile("\\{\\{([A-Za-z_.]+)(\\|json)?\\}\\}").matcher(Files.readString(Path.of("deploy/settings.json")));
        StringBuilder text = new StringBuilder();
        while (field.find()) {
            Object value = vm.settings.get(field.group(1));
            if (value == null) throw new IllegalStateException("no value for " + field.group(1));
            field.appendReplacement(text, Matcher.quoteReplacement(field.group(2) == null ? value.toString() : Json.write(value)));
        }
        field.appendTail(text);
        Path settings = folder.resolve(vm.name + ".json");
        Files.writeString(settings, text.toString());
        vm.log = folder.resolve(vm.name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().putAll(environment);
        builder.environment().put("AGATESTREAM_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(vm.log));
        vm.process = builder.start();
        Record.log("started %s as process %d, callers at %s", vm.name, vm.process.pid(), vm.front());
    }

    /** Starts all VMs and waits until each is ready and one of them coordinates. */
    void startAll() throws Exception {
        for (Vm vm : vms) start(vm);
        double endAt = Record.now() + 25;
        for (Vm vm : vms) while (!isReady(vm) || coordinator() == null) {
            if (Record.now() > endAt || !vm.process.isAlive()) throw new IllegalStateException(vm.name + " is not ready");
            Thread.sleep(100);
        }
        // Traffic begins some seconds after the machines.
        Thread.sleep(3000);
        Record.log("the fleet is ready; %s coordinates", coordinator().name);
    }

    boolean isReady(Vm vm) {
        return Http.send(vm.ready(), "GET", "/-/readiness", Map.of("Host", "ready"), new byte[0], 1000).status == 200;
    }

    /** The VM that the store names as coordinator, or null. */
    Vm coordinator() {
        String text = store.text("fleet", "", "coordinator");
        if (text == null) return null;
        Object name = Json.object(text).get("name");
        return vms.stream().filter(vm -> vm.name.equals(name)).findFirst().orElse(null);
    }

    List<Vm> others(Vm vm) {
        List<Vm> others = new ArrayList<>(vms);
        others.remove(vm);
        return others;
    }

    /** Returns the name of the VM whose process holds the socket with this local and remote port, or "unknown". */
    String senderOf(int port, int remotePort) {
        try {
            String inode = inodeOf(port, remotePort);
            if (inode == null) return "unknown";
            for (Vm vm : vms) {
                if (vm.process == null || !vm.process.isAlive()) continue;
                File[] files = new File("/proc/" + vm.process.pid() + "/fd").listFiles();
                if (files == null) continue;
                for (File file : files) {
                    try {
                        if (Files.readSymbolicLink(file.toPath()).toString().equals("socket:[" + inode + "]")) return vm.name;
                    } catch (IOException e) {
                        // The descriptor was closed meanwhile.
                    }
                }
            }
        } catch (IOException e) {
            return "unknown";
        }
        return "unknown";
    }

    private static String inodeOf(int port, int remotePort) throws IOException {
        String own = String.format(":%04X", port);
        String remote = String.format(":%04X", remotePort);
        for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
            if (!new File(table).exists()) continue;
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.trim().split("\\s+");
                if (fields.length > 9 && fields[1].endsWith(own) && fields[2].endsWith(remote)) return fields[9];
            }
        }
        return null;
    }

    /** Sends a signal, for example STOP, to the process of a VM. */
    void signal(Vm vm, String signal) throws Exception {
        Record.log("SIG%s to %s", signal, vm.name);
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + vm.process.pid()).inheritIO().start().waitFor();
    }

    /** Prints the lines of a VM's log that contain one of the words. */
    void logLines(Vm vm, String... words) throws IOException {
        if (vm.log == null) return;
        for (String line : Files.readAllLines(vm.log.toPath(), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            for (String word : words) {
                if (line.contains(word)) {
                    Record.log("log of %s: %s", vm.name, line.length() > 300 ? line.substring(0, 300) : line);
                    break;
                }
            }
        }
    }

    private void endProcesses() {
        for (Vm vm : vms) if (vm.process != null) vm.process.destroyForcibly();
        for (Vm vm : vms) {
            try {
                if (vm.process != null) vm.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) Files.delete(file);
        }
        Files.delete(folder);
    }

    static Map<String, String> headers(String host, String key, String id, String... more) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("Api-Key", key);
        if (id != null) headers.put("X-Agatestream-Attempt-Id", id);
        for (int i = 0; i < more.length; i += 2) headers.put(more[i], more[i + 1]);
        return headers;
    }
}
