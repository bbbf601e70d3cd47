import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A model worker that answers with a stream of numbered events, and resumes after `Last-Event-Id`. */
class Worker implements AutoCloseable {
    /** One run: the id, its path, and when it began and ended. */
    static final class Run {
        final String id;
        final String path;
        final String tenant;
        final long from = System.nanoTime();
        volatile boolean complete;
        private volatile long endedAt;

        /** Whether it went on at [since] or later and lasted for a second or longer. */
        boolean isHadSince(long since) {
            long end = endedAt == 0 ? System.nanoTime() : endedAt;
            return end >= since && end - from >= 1_000_000_000L;
        }

        Run(Http.Message request) {
            id = String.valueOf(request.header("x-agatestream-attempt-id"));
            path = request.path();
            tenant = String.valueOf(request.header("x-agatestream-tenant"));
        }
    }

    final String id;
    final int slots;
    final int events;
    final int gapMs;
    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    final Map<String, Integer> finished = new ConcurrentHashMap<>();
    final AtomicInteger active = new AtomicInteger();
    /** The number of characters of an event's data. */
    int pieceChars = 8;
    private final Http.Server server;
    private final String ip;
    private final long born = System.currentTimeMillis();
    private volatile boolean isClosed;

    Worker(String id, String ip, int slots, int events, int gapMs) throws IOException {
        this.id = id;
        this.ip = ip;
        this.slots = slots;
        this.events = events;
        this.gapMs = gapMs;
        server = new Http.Server(ip, 0, this::serve);
    }

    /** Makes the worker read at most [bytesPerS] bytes a second on each channel. */
    void readSlowly(int bytesPerS) {
        server.readBytesPerS = bytesPerS;
    }

    String address() {
        return ip + ":" + server.port();
    }

    /** Whether the worker had a run of [item] at [since] or later; one that ends within a second does not count. */
    boolean had(String item, long since) {
        return runs.stream().anyMatch(it -> it.id.equals(item) && it.isHadSince(since));
    }

    /** Registers in the store, and again each 1.2 s. */
    Worker register(Store store, String service, String zone) {
        Http.thread("beat", () -> {
            for (int sequence = 1; !isClosed; sequence++) {
                store.put("servers", id, entry(service, zone, "ready", sequence));
                Kit.sleep(1200);
            }
        });
        return this;
    }

    String entry(String service, String zone, String state, int sequence) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"" + zone
            + "\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"" + state
            + "\",\"ColdLeftMs\":0,\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Sequence\":"
            + sequence + ",\"born\":" + born + "}";
    }

    @Override
    public void close() {
        isClosed = true;
        server.close();
    }

    private boolean serve(Http.Message request, Socket socket) throws IOException {
        String path = request.path();
        if (path.equals("/healthz")) {
            Http.answer(socket, 200, new byte[0], "X-Agatestream-Instance-Id: " + id, load());
            return true;
        }
        if (path.equals("/-/report")) {
            String report = "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,"
                + "\"Sequence\":0,\"Queued\":0,\"Active\":" + active.get() + ",\"KvUsed\":0,\"KvTotal\":72000,\"Handles\":0}";
            Http.answer(socket, 200, report.getBytes(StandardCharsets.UTF_8), "Content-Type: application/json");
            return true;
        }
        String attempt = request.header("x-agatestream-attempt-id");
        String echo = "X-Agatestream-Attempt-Id: " + attempt;
        String expected = request.header("x-agatestream-expect-instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(socket, 421, new byte[0], echo, "X-Agatestream-Instance-Id: " + id);
            return true;
        }
        if (attempt == null) {
            Http.answer(socket, 400, new byte[0], "X-Agatestream-Not-Executed: 1");
            return true;
        }
        if (active.incrementAndGet() > slots) {
            active.decrementAndGet();
            Http.answer(socket, 503, new byte[0], echo, "X-Agatestream-Not-Executed: 1");
            return true;
        }
        Run run = new Run(request);
        runs.add(run);
        try {
            return run(run, request, socket);
        } finally {
            run.endedAt = System.nanoTime();
            active.decrementAndGet();
        }
    }

    /** Runs a request; a subclass may answer in another way. */
    boolean run(Run run, Http.Message request, Socket socket) throws IOException {
        String last = request.header("last-event-id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        OutputStream out = socket.getOutputStream();
        out.write(head(run, "text/event-stream").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        for (int number = from; number <= events; number++) {
            Kit.sleep(gapMs);
            writeEvent(out, number);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        run.complete = true;
        finished.merge(run.id, 1, Integer::sum);
        return true;
    }

    final String head(Run run, String type) {
        return "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nX-Agatestream-Attempt-Id: " + run.id + "\r\n"
            + "X-Agatestream-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Agatestream-Instance-Id: " + id + "\r\n"
            + "X-Agatestream-Weight-Versions: 1\r\n" + load() + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    final void writeEvent(OutputStream out, int number) throws IOException {
        String event = "id: " + number + "\ndata: " + piece(number) + "\n\n";
        String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
        out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private String piece(int number) {
        String text = "t" + number;
        return text + "x".repeat(Math.max(0, pieceChars - text.length()));
    }

    /** The whole output of an item, as a result has to list it. */
    String output() {
        StringBuilder text = new StringBuilder();
        for (int number = 1; number <= events; number++) text.append(number > 1 ? "\n" : "").append(piece(number));
        return text.toString();
    }

    private String load() {
        return "X-Agatestream-Instance-Load: " + active.get() + ",0," + slots;
    }
}
