import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private static final class Row {
        String table;
        String part;
        String key;
        String value;
        long ver;

        Map<String, Object> json() {
            Map<String, Object> map = Json.map("Table", table, "part", part, "Key", key, "Ver", ver);
            if (value == null) map.put("Removed", true); else map.put("Value", value);
            return map;
        }
    }

    static final long BLOB_LIMIT = 400_000_000L;

    final Http.Server server;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<String, byte[]> blobs = new ConcurrentHashMap<>();
    private final Map<String, Object> partLocks = new ConcurrentHashMap<>();
    private long ver;
    private long blobBytes;
    volatile int readMs = 4;
    volatile int txMs = 5;
    volatile int blobMs = 25;
    volatile int refusedBlobs;
    /** True to reset every connection on which a call arrives; nothing is done then. */
    volatile boolean isDown;

    Store() throws IOException {
        server = new Http.Server("store", this::handle);
    }

    int port() {
        return server.port();
    }

    long blobBytes() {
        synchronized (blobs) {
            return blobBytes;
        }
    }

    int blobCount() {
        return blobs.size();
    }

    /** Writes a row as the operator or a worker does; returns when it is acknowledged. */
    synchronized void put(String table, String key, String text) {
        Row row = new Row();
        row.table = table;
        row.part = "";
        row.key = key;
        row.value = text == null ? null : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        row.ver = ++ver;
        rows.put(name(table, "", key), row);
        notifyAll();
    }

    /** Returns the text of a row, or null. */
    synchronized String get(String table, String part, String key) {
        Row row = rows.get(name(table, part, key));
        if (row == null || row.value == null) return null;
        return new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private static String name(String table, String part, String key) {
        return table + '\u0001' + part + '\u0001' + key;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private boolean handle(Http.Conn conn, Http.Message request) throws Exception {
        if (isDown) {
            // Closing without lingering resets the connection.
            conn.socket.setSoLinger(true, 0);
            return false;
        }
        String verb = request.path().substring("/-/".length());
        String id = verb.contains("/") ? verb.substring(verb.indexOf('/') + 1) : "";
        switch (verb.split("/")[0]) {
            case "rows-tx": return transact(conn, request);
            case "rows-get": return read(conn, request);
            case "rows-parts": return parts(conn, request);
            case "rows-feed": return feed(conn, request);
            case "blob-put": return putBlob(conn, request, id);
            case "blob-get": return getBlob(conn, id);
            case "blob-drop": return dropBlob(conn, id);
            default: return answer(conn, 404, "{}");
        }
    }

    private boolean answer(Http.Conn conn, int status, String json) throws IOException {
        return answer(conn, status, "application/json", json.getBytes(StandardCharsets.UTF_8));
    }

    private boolean answer(Http.Conn conn, int status, String type, byte[] body) throws IOException {
        byte[] head = Http.head("HTTP/1.1 " + status + " S", "Content-Type", type, "Content-Length", body.length);
        Http.write(conn.out, head, body);
        return true;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Map<String, Object> body, String name) {
        Object value = body.get(name);
        return value == null ? new ArrayList<>() : (List<Map<String, Object>>) value;
    }

    private static String nameOf(Map<String, Object> row) {
        return name((String) row.get("Table"), row.get("part") == null ? "" : (String) row.get("part"),
            (String) row.get("Key"));
    }

    private boolean transact(Http.Conn conn, Http.Message request) throws Exception {
        Map<String, Object> body = Json.object(request.text());
        List<Map<String, Object>> all = new ArrayList<>(list(body, "ExpectedRev"));
        all.addAll(list(body, "Upserts"));
        all.addAll(list(body, "Remove"));
        String part = all.isEmpty() || all.get(0).get("part") == null ? "" : (String) all.get(0).get("part");
        synchronized (partLocks.computeIfAbsent(part, it -> new Object())) {
            Thread.sleep(txMs);
            String conflict = apply(body);
            if (conflict != null) return answer(conn, 412, conflict);
        }
        return answer(conn, 200, Json.write(Json.map("Ver", ver, "NowMs", nowMs())));
    }

    private synchronized String apply(Map<String, Object> body) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> expected : list(body, "ExpectedRev")) {
            Row row = rows.get(nameOf(expected));
            long actual = row == null || row.value == null ? 0 : row.ver;
            long wanted = expected.get("Ver") == null ? 0 : ((Number) expected.get("Ver")).longValue();
            if (actual != wanted) holds = false;
            if (actual != 0) current.add(row.json());
        }
        if (!holds) return Json.write(Json.map("Rows", current, "Ver", ver, "NowMs", nowMs()));
        ver++;
        for (Map<String, Object> upsert : list(body, "Upserts")) set(upsert, (String) upsert.get("Value"));
        for (Map<String, Object> removed : list(body, "Remove")) set(removed, null);
        notifyAll();
        return null;
    }

    private void set(Map<String, Object> entry, String value) {
        Row row = new Row();
        row.table = (String) entry.get("Table");
        row.part = entry.get("part") == null ? "" : (String) entry.get("part");
        row.key = (String) entry.get("Key");
        row.value = value;
        row.ver = ver;
        rows.put(nameOf(entry), row);
    }

    private boolean read(Http.Conn conn, Http.Message request) throws Exception {
        Thread.sleep(readMs);
        String table = request.query("Table");
        String part = request.query("part") == null ? "" : request.query("part");
        String from = request.query("From");
        String to = request.query("To");
        int limit = request.query("Limit") == null ? 500 : Integer.parseInt(request.query("Limit"));
        List<Object> found = new ArrayList<>();
        boolean hasMore = false;
        long version;
        synchronized (this) {
            version = ver;
            String prefix = name(table, part, "");
            for (Row row : rows.tailMap(from == null ? prefix : prefix + from, true).values()) {
                if (!row.table.equals(table) || !row.part.equals(part)) break;
                if (to != null && row.key.compareTo(to) >= 0) break;
                if (row.value == null) continue;
                if (found.size() >= limit) {
                    hasMore = true;
                    break;
                }
                found.add(row.json());
            }
        }
        return answer(conn, 200,
            Json.write(Json.map("Rows", found, "HasMore", hasMore, "Ver", version, "NowMs", nowMs())));
    }

    private boolean parts(Http.Conn conn, Http.Message request) throws Exception {
        Thread.sleep(readMs);
        String table = request.query("Table");
        String after = request.query("After");
        List<Object> parts = new ArrayList<>();
        synchronized (this) {
            rows.values().stream()
                .filter(it -> it.table.equals(table) && it.value != null && (after == null || it.part.compareTo(after) > 0))
                .map(it -> it.part).distinct().sorted().forEach(parts::add);
        }
        return answer(conn, 200, Json.write(Json.map("parts", parts, "HasMore", false, "Ver", ver, "NowMs", nowMs())));
    }

    private boolean feed(Http.Conn conn, Http.Message request) throws Exception {
        String table = request.query("Table");
        long after = Long.parseLong(request.query("After"));
        long end = nowMs() + Long.parseLong(request.query("WaitMs"));
        Thread.sleep(readMs);
        List<Object> found = new ArrayList<>();
        long version;
        synchronized (this) {
            while (true) {
                rows.values().stream().filter(it -> it.table.equals(table) && it.ver > after)
                    .sorted(Comparator.comparingLong(it -> it.ver)).forEach(it -> found.add(it.json()));
                version = ver;
                long left = end - nowMs();
                if (!found.isEmpty() || left <= 0) break;
                wait(left);
            }
        }
        return answer(conn, 200, Json.write(Json.map("Rows", found, "HasMore", false, "Ver", version, "NowMs", nowMs())));
    }

    private boolean putBlob(Http.Conn conn, Http.Message request, String id) throws Exception {
        Thread.sleep(blobMs + request.body.length / 80_000);
        int status = 200;
        synchronized (blobs) {
            if (blobs.containsKey(id)) {
                status = 412;
            } else if (blobBytes + request.body.length > BLOB_LIMIT) {
                status = 507;
                refusedBlobs++;
            } else {
                blobs.put(id, request.body);
                blobBytes += request.body.length;
            }
        }
        return answer(conn, status, "{}");
    }

    private boolean getBlob(Http.Conn conn, String id) throws Exception {
        byte[] bytes = blobs.get(id);
        Thread.sleep(blobMs + (bytes == null ? 0 : bytes.length / 80_000));
        if (bytes == null) return answer(conn, 404, "{}");
        return answer(conn, 200, "application/octet-stream", bytes);
    }

    private boolean dropBlob(Http.Conn conn, String id) throws Exception {
        Thread.sleep(blobMs);
        synchronized (blobs) {
            byte[] bytes = blobs.remove(id);
            if (bytes != null) blobBytes -= bytes.length;
        }
        return answer(conn, 200, "{}");
    }
}
