import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker: it runs some requests at once, queues a few more, and answers with a stream of events. */
final class Worker {
    /** Names the machine at the other end of a channel; on real machines its address tells. */
    interface Senders {
        String senderOf(int port, int remotePort);
    }

    /** One run of a request, with times of {@link Record#now()}. */
    static final class Run {
        String id;
        String tenant;
        String path;
        /** The machine that sent it. */
        String sender;
        double arrivedAt;
        double startedAt;
        volatile double endedAt = -1;
        volatile boolean isWhole = false;
    }

    final String id;
    volatile Senders senders = (port, remotePort) -> "unknown";
    private final List<Run> runs = new ArrayList<>();
    private final Store store;
    private final String service;
    private final int slotCount;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final int events;
    private final long gapMs;
    private final String padding;
    private final long born = System.currentTimeMillis();
    private String address;
    private long sequence = 0;

    Worker(Store store, String id, String service, int slots, int events, long gapMs, int eventBytes) {
        this.store = store;
        this.id = id;
        this.service = service;
        this.slotCount = slots;
        this.slots = new Semaphore(slots, true);
        this.events = events;
        this.gapMs = gapMs;
        this.padding = eventBytes == 0 ? "" : "-" + "x".repeat(eventBytes);
    }

    void start() throws IOException {
        ServerSocket listener = Http.serve("127.0.0.1", 0, channel -> {}, this::handle);
        address = "127.0.0.1:" + listener.getLocalPort();
        register();
        Http.daemon(() -> {
            try {
                while (true) {
                    Thread.sleep(1200);
                    register();
                }
            } catch (InterruptedException e) {
                // The script ends.
            }
        });
    }

    /** The whole output of an item or a stream. */
    String output(String request) {
        StringBuilder text = new StringBuilder();
        for (int n = 1; n <= events; n++) text.append(n > 1 ? "\n" : "").append(data(request, n));
        return text.toString();
    }

    private String data(String request, int n) {
        return request + "-" + n + padding;
    }

    private void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("Service", service);
        entry.put("Address", address);
        entry.put("Zone", "z1");
        entry.put("Version", "1");
        entry.put("Slots", slotCount);
        entry.put("State", "ready");
        entry.put("ColdLeftMs", 0);
        entry.put("Sequence", ++sequence);
        entry.put("born", born);
        store.put("servers", id, Json.write(entry));
    }

    private void handle(Http.Request request) throws Exception {
        double arrivedAt = Record.now();
        String attempt = request.header("x-agatestream-attempt-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Agatestream-Instance-Id", id);
        if (attempt != null) headers.put("X-Agatestream-Attempt-Id", attempt);
        headers.put("X-Agatestream-Instance-Load", (slotCount - slots.availablePermits()) + "," + waiting + "," + slotCount);
        String expected = request.header("x-agatestream-expect-instance");
        if (expected != null && !expected.equals(id)) {
            request.channel.respond(421, headers, new byte[0]);
            return;
        }
        if (request.path().equals("/-/report")) {
            request.channel.respondJson(200, "{\"Stage\":\"both\",\"Models\":[],\"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":72000,\"Handles\":0}");
            return;
        }
        String deadlineText = request.header("x-agatestream-deadline-ms");
        long deadlineMs = deadlineText == null ? 15_000 : (long) Double.parseDouble(deadlineText);
        waiting.incrementAndGet();
        boolean isIn = waiting.get() <= 24 && slots.tryAcquire(Math.min(deadlineMs, 1000), TimeUnit.MILLISECONDS);
        waiting.decrementAndGet();
        if (!isIn) {
            headers.put("X-Agatestream-Not-Executed", "1");
            request.channel.respond(503, headers, new byte[0]);
            return;
        }
        Run run = new Run();
        run.id = attempt;
        run.tenant = request.header("x-agatestream-tenant");
        run.path = request.target;
        run.sender = senders.senderOf(request.channel.socket.getPort(), request.channel.socket.getLocalPort());
        run.arrivedAt = arrivedAt;
        run.startedAt = Record.now();
        synchronized (runs) {
            runs.add(run);
        }
        try {
            stream(request, run, headers, arrivedAt + deadlineMs / 1000.0);
        } finally {
            run.endedAt = Record.now();
            slots.release();
        }
    }

    private void stream(Http.Request request, Run run, Map<String, String> headers, double endAt) throws Exception {
        headers.put("X-Agatestream-Response-Signature", "sig." + run.id);
        headers.put("Content-Type", "text/event-stream");
        String last = request.header("last-event-id");
        int first = last == null ? 1 : Integer.parseInt(last.trim()) + 1;
        Thread.sleep(30);
        request.channel.startChunked(200, headers);
        for (int n = first; n <= events; n++) {
            if (Record.now() > endAt || request.channel.isClosedByPeer()) throw new IOException("given up");
            request.channel.chunk("id: " + n + "\ndata: " + data(run.id, n) + "\n\n");
            Thread.sleep(gapMs);
        }
        request.channel.endChunks();
        run.isWhole = true;
    }

    List<Run> runs() {
        synchronized (runs) {
            return new ArrayList<>(runs);
        }
    }
}
