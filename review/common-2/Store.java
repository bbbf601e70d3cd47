import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The platform's metadata store: rows, their feed, and objects. */
final class Store implements AutoCloseable {
    private record Name(String table, String part, String key) implements Comparable<Name> {
        @Override
        public int compareTo(Name other) {
            int byTable = table.compareTo(other.table);
            if (byTable != 0) return byTable;
            int byPart = part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private record Row(Name name, String value, long version) {
        Map<String, Object> toJson() {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("Table", name.table);
            json.put("part", name.part);
            json.put("Key", name.key);
            if (value != null) json.put("Value", value);
            json.put("Ver", version);
            if (value == null) json.put("Removed", true);
            return json;
        }
    }

    static final int TX_MS = 5;
    static final int READ_MS = 4;
    static final int BLOB_MS = 25;
    private static final int MAX_ROWS = 500;
    private static final int MAX_BYTES = 1_000_000;
    private static final int BLOB_BYTES = 8_388_608;

    private final TreeMap<Name, Row> rows = new TreeMap<>();
    private final Map<String, byte[]> blobs = new HashMap<>();
    private final Map<Name, Row> latest = new LinkedHashMap<>();
    private long version = 1;
    private final long startedAt = System.nanoTime();
    private final Http.Server server;

    /** How many times as long each answer takes. */
    volatile int slowness = 1;
    /** True to refuse all calls with 503. */
    volatile boolean isDown;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, 0, this::answer);
    }

    int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    synchronized long put(String table, String key, String json) {
        String value = java.util.Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        version++;
        apply(new Row(new Name(table, "", key), value, version));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        version++;
        apply(new Row(new Name(table, "", key), null, version));
        notifyAll();
    }

    /** The number of rows of [table] in all parts. */
    synchronized int count(String table) {
        return (int) rows.keySet().stream().filter(it -> it.table.equals(table)).count();
    }

    /** The text of a row with an empty part; null if there is none. */
    synchronized String value(String table, String key) {
        Row row = rows.get(new Name(table, "", key));
        return row == null ? null : new String(java.util.Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    /** The number of objects and their bytes. */
    synchronized String blobSummary() {
        return blobs.size() + " objects, " + blobs.values().stream().mapToLong(it -> it.length).sum() + " bytes";
    }

    private void apply(Row row) {
        latest.remove(row.name);
        latest.put(row.name, row);
        if (row.value == null) rows.remove(row.name);
        else rows.put(row.name, row);
    }

    private boolean answer(Http.Message request, Socket socket) throws IOException {
        if (isDown) {
            Http.answer(socket, 503, new byte[0]);
            return true;
        }
        String path = request.path();
        if (path.startsWith("/-/blob-")) return answerBlob(request, path, socket);
        pause(path.equals("/-/rows-tx") ? TX_MS : READ_MS);
        switch (path) {
            case "/-/rows-tx" -> transact(request, socket);
            case "/-/rows-get" -> Http.answer(socket, 200, json(get(request.query())), "Content-Type: application/json");
            case "/-/rows-parts" -> Http.answer(socket, 200, json(parts(request.query())), "Content-Type: application/json");
            case "/-/rows-feed" -> Http.answer(socket, 200, json(feed(request.query())), "Content-Type: application/json");
            default -> Http.answer(socket, 404, new byte[0]);
        }
        return true;
    }

    private void pause(int millis) {
        try {
            Thread.sleep((long) millis * slowness);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] json(Map<String, Object> value) {
        return Json.write(value).getBytes(StandardCharsets.UTF_8);
    }

    private Map<String, Object> stamped() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("Ver", version);
        json.put("NowMs", (System.nanoTime() - startedAt) / 1_000_000);
        return json;
    }

    private static Name nameOf(Map<String, Object> row) {
        Object part = row.get("part");
        return new Name((String) row.get("Table"), part == null ? "" : (String) part, (String) row.get("Key"));
    }

    private void transact(Http.Message request, Socket socket) throws IOException {
        Map<String, Object> body = Json.object(Json.read(request.text()));
        int status = 200;
        byte[] answer;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            for (Object entry : Json.list(body.get("ExpectedRev"))) {
                Name name = nameOf(Json.object(entry));
                Row row = rows.get(name);
                long expected = ((Double) Json.object(entry).get("Ver")).longValue();
                if ((row == null ? 0 : row.version) != expected) status = 412;
                if (row != null) current.add(row.toJson());
            }
            if (status == 200) {
                version++;
                for (Object entry : Json.list(body.get("Upserts"))) {
                    Map<String, Object> row = Json.object(entry);
                    if (isForeign(row)) status = 403;
                    else apply(new Row(nameOf(row), (String) row.get("Value"), version));
                }
                for (Object entry : Json.list(body.get("Remove"))) apply(new Row(nameOf(Json.object(entry)), null, version));
                notifyAll();
            }
            Map<String, Object> json = stamped();
            if (status == 412) json.put("Rows", current);
            answer = json(json);
        }
        Http.answer(socket, status, answer, "Content-Type: application/json");
    }

    private static boolean isForeign(Map<String, Object> row) {
        return "op".equals(row.get("Table")) || "servers".equals(row.get("Table"));
    }

    private synchronized Map<String, Object> get(Map<String, String> query) {
        String table = query.get("Table");
        String part = query.getOrDefault("part", "");
        String from = query.getOrDefault("From", "");
        String to = query.get("To");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("Limit", "" + MAX_ROWS)));
        List<Object> found = new ArrayList<>();
        int bytes = 0;
        boolean hasMore = false;
        for (Row row : rows.tailMap(new Name(table, part, from), true).values()) {
            if (!row.name.table.equals(table) || !row.name.part.equals(part)) break;
            if (to != null && row.name.key.compareTo(to) >= 0) break;
            bytes += row.value.length();
            if (found.size() == limit || (bytes > MAX_BYTES && !found.isEmpty())) {
                hasMore = true;
                break;
            }
            found.add(row.toJson());
        }
        Map<String, Object> json = stamped();
        json.put("Rows", found);
        json.put("HasMore", hasMore);
        return json;
    }

    private synchronized Map<String, Object> parts(Map<String, String> query) {
        TreeSet<String> parts = new TreeSet<>();
        for (Name name : rows.keySet()) if (name.table.equals(query.get("Table"))) parts.add(name.part);
        String after = query.get("After");
        if (after != null) parts.headSet(after, true).clear();
        Map<String, Object> json = stamped();
        json.put("parts", new ArrayList<>(parts));
        json.put("HasMore", false);
        return json;
    }

    private synchronized Map<String, Object> feed(Map<String, String> query) {
        String table = query.get("Table");
        long after = Long.parseLong(query.getOrDefault("After", "0"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        List<Object> changed = new ArrayList<>();
        while (true) {
            for (Row row : latest.values()) {
                if (row.version > after && row.name.table.equals(table)) changed.add(row.toJson());
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) break;
            try {
                wait(left);
            } catch (InterruptedException e) {
                break;
            }
        }
        Map<String, Object> json = stamped();
        json.put("Rows", changed);
        return json;
    }

    private boolean answerBlob(Http.Message request, String path, Socket socket) throws IOException {
        pause(BLOB_MS);
        String name = path.substring(path.indexOf('/', 3) + 1);
        byte[] content = null;
        int status = 200;
        synchronized (this) {
            if (path.startsWith("/-/blob-put/")) {
                boolean exists = blobs.containsKey(name);
                if (request.body.length > BLOB_BYTES) status = 413;
                else if (exists && "*".equals(request.header("if-none-match"))) status = 412;
                else if (blobs.values().stream().mapToLong(it -> it.length).sum() > 400_000_000L) status = 507;
                else blobs.put(name, request.body);
            } else if (path.startsWith("/-/blob-get/")) {
                content = blobs.get(name);
                if (content == null) status = 404;
            } else if (path.startsWith("/-/blob-drop/")) {
                blobs.remove(name);
            } else {
                status = 404;
            }
        }
        Http.answer(socket, status, content == null ? new byte[0] : content);
        return true;
    }
}
