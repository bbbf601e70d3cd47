import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker: answers each request with a stream of numbered events. */
final class Worker {
    /** One run of a request, with the time at which it reached this worker. */
    record Run(long atMs, String worker, String id, String path, String tenant, String lastEvent) {}

    final String id;
    final int slots;
    final int events;
    final int gapMs;
    final int eventBytes;
    final Http.Server server;
    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger active = new AtomicInteger();

    Worker(String id, int slots, int events, int gapMs, int eventBytes) throws IOException {
        this.id = id;
        this.slots = slots;
        this.events = events;
        this.gapMs = gapMs;
        this.eventBytes = eventBytes;
        server = new Http.Server("worker", this::handle);
    }

    String entry(String zone, String state) {
        return entry("llm", zone, state);
    }

    String entry(String service, String zone, String state) {
        return Json.write(Json.map("Service", service, "Address", "127.0.0.1:" + server.port(), "Zone", zone,
            "Version", "1", "Slots", slots, "State", state, "ColdLeftMs", 0, "Sequence", 1, "born", 1700000000000L));
    }

    /** The text of event [number] of the request [request]. */
    String data(String request, int number) {
        StringBuilder text = new StringBuilder(request + "-" + number);
        while (text.length() < eventBytes) text.append('.');
        return text.toString();
    }

    private boolean handle(Http.Conn conn, Http.Message request) throws Exception {
        String attempt = request.header("x-agatestream-attempt-id");
        String expected = request.header("x-agatestream-expect-instance");
        if (expected != null && !expected.equals(id)) {
            Http.write(conn.out, Http.head("HTTP/1.1 421 Misdirected Request", "X-Agatestream-Attempt-Id", attempt,
                "X-Agatestream-Instance-Id", id, "X-Agatestream-Not-Executed", 1, "Content-Length", 0), new byte[0]);
            return true;
        }
        if (active.incrementAndGet() > slots) {
            active.decrementAndGet();
            Http.write(conn.out, Http.head("HTTP/1.1 503 Full", "X-Agatestream-Attempt-Id", attempt,
                "X-Agatestream-Not-Executed", 1, "Content-Length", 0), new byte[0]);
            return true;
        }
        try {
            runs.add(new Run(Lib.now(), id, attempt, request.target(), request.header("x-agatestream-tenant"),
                request.header("last-event-id")));
            Http.write(conn.out, Http.head("HTTP/1.1 200 OK", "X-Agatestream-Attempt-Id", attempt,
                "X-Agatestream-Response-Signature", "sig." + id, "Content-Type", "text/event-stream",
                "Transfer-Encoding", "chunked"), new byte[0]);
            String last = request.header("last-event-id");
            for (int i = last == null ? 0 : Integer.parseInt(last) + 1; i < events; i++) {
                byte[] event = ("id: " + i + "\ndata: " + data(attempt, i) + "\n\n").getBytes(StandardCharsets.UTF_8);
                chunk(conn, event);
                Thread.sleep(gapMs);
            }
            conn.out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            conn.out.flush();
            return true;
        } finally {
            active.decrementAndGet();
        }
    }

    private static void chunk(Http.Conn conn, byte[] bytes) throws IOException {
        byte[] head = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[head.length + bytes.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(bytes, 0, all, head.length, bytes.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        conn.out.write(all);
        conn.out.flush();
    }
}
