import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store: rows, their feed and raw objects. Each VM has an address of its own at it. */
final class Store {
    private static final long READ_MS = 4;
    private static final long WRITE_MS = 5;
    private static final long BLOB_MS = 25;

    private static final class Row {
        String table;
        String part;
        String key;
        String value;
        long ver;

        Map<String, Object> toMap() {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("Table", table);
            map.put("part", part);
            map.put("Key", key);
            if (value != null) map.put("Value", value);
            else map.put("Removed", true);
            map.put("Ver", ver);
            return map;
        }
    }

    /** An open channel and the table that it follows at the moment, or null. */
    private static final class Open {
        final String vm;
        final Http.Channel channel;
        volatile String follows;

        Open(String vm, Http.Channel channel) {
            this.vm = vm;
            this.channel = channel;
        }
    }

    private final Map<String, TreeMap<String, Row>> parts = new HashMap<>();
    private final Map<String, byte[]> blobs = new ConcurrentHashMap<>();
    private final Map<Http.Channel, Open> open = new ConcurrentHashMap<>();
    private long version = 0;

    /** Returns the address at which the VM reaches the store. */
    String listen(String vm) throws IOException {
        ServerSocket listener =
            Http.serve("127.0.0.1", 0, channel -> open.put(channel, new Open(vm, channel)), this::handle);
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes a row, as an operator or a worker does. */
    synchronized void put(String table, String key, String text) {
        Row row = new Row();
        row.table = table;
        row.part = "";
        row.key = key;
        row.value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        row.ver = ++version;
        part(table, "").put(key, row);
        notifyAll();
    }

    /** Returns the text of a row, or null. */
    synchronized String text(String table, String part, String key) {
        Row row = part(table, part).get(key);
        if (row == null || row.value == null) return null;
        return new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    long blobBytes() {
        return blobs.values().stream().mapToLong(b -> b.length).sum();
    }

    /** Makes an open channel of the VM, on which it waits for changes of the table, silent for good. */
    boolean silence(String vm, String table) {
        for (Open each : open.values()) {
            if (each.vm.equals(vm) && table.equals(each.follows)) {
                each.channel.isSilent = true;
                return true;
            }
        }
        return false;
    }

    private TreeMap<String, Row> part(String table, String part) {
        return parts.computeIfAbsent(table + "\n" + part, k -> new TreeMap<>());
    }

    private void handle(Http.Request request) throws Exception {
        String verb = request.path().substring("/-/".length());
        String name = verb.contains("/") ? verb.substring(verb.indexOf('/') + 1) : "";
        switch (verb.split("/")[0]) {
            case "rows-get": {
                Thread.sleep(READ_MS);
                request.channel.respondJson(200, read(request));
                return;
            }
            case "rows-parts": {
                Thread.sleep(READ_MS);
                request.channel.respondJson(200, listParts(request));
                return;
            }
            case "rows-feed": {
                Thread.sleep(READ_MS);
                Open channel = open.get(request.channel);
                channel.follows = request.query("Table");
                String page = follow(request);
                channel.follows = null;
                request.channel.respondJson(200, page);
                return;
            }
            case "rows-tx": {
                Thread.sleep(WRITE_MS);
                transact(request);
                return;
            }
            case "blob-put": {
                Thread.sleep(BLOB_MS);
                boolean isNew = blobs.putIfAbsent(name, request.body) == null;
                request.channel.respondJson(isNew ? 200 : 412, "{}");
                return;
            }
            case "blob-get": {
                Thread.sleep(BLOB_MS);
                byte[] bytes = blobs.get(name);
                request.channel.respond(
                    bytes == null ? 404 : 200, Map.of("Content-Type", "application/octet-stream"), bytes == null ? new byte[0] : bytes);
                return;
            }
            case "blob-drop": {
                Thread.sleep(BLOB_MS);
                request.channel.respondJson(blobs.remove(name) == null ? 404 : 200, "{}");
                return;
            }
            default:
                request.channel.respondJson(404, "{}");
        }
    }

    private String page(List<Row> rows, boolean hasMore, long ver) {
        Map<String, Object> page = new LinkedHashMap<>();
        List<Object> list = new ArrayList<>();
        for (Row row : rows) list.add(row.toMap());
        page.put("Rows", list);
        page.put("HasMore", hasMore);
        page.put("Ver", ver);
        page.put("NowMs", System.nanoTime() / 1_000_000);
        return Json.write(page);
    }

    private synchronized String read(Http.Request request) {
        String from = request.query("From");
        String to = request.query("To");
        String limitText = request.query("Limit");
        int limit = limitText == null ? 500 : Math.min(500, Integer.parseInt(limitText));
        List<Row> rows = new ArrayList<>();
        boolean hasMore = false;
        int bytes = 0;
        String part = request.query("part");
        for (Row row : part(request.query("Table"), part == null ? "" : part).values()) {
            if (row.value == null || (from != null && row.key.compareTo(from) < 0)) continue;
            if (to != null && row.key.compareTo(to) >= 0) break;
            if (rows.size() >= limit || (!rows.isEmpty() && bytes + row.value.length() > 1_000_000)) {
                hasMore = true;
                break;
            }
            rows.add(row);
            bytes += row.value.length();
        }
        return page(rows, hasMore, version);
    }

    private synchronized String listParts(Http.Request request) {
        Set<String> names = new TreeSet<>();
        for (Map.Entry<String, TreeMap<String, Row>> entry : parts.entrySet()) {
            String[] name = entry.getKey().split("\n", 2);
            if (!name[0].equals(request.query("Table"))) continue;
            if (entry.getValue().values().stream().anyMatch(row -> row.value != null)) names.add(name[1]);
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("parts", new ArrayList<Object>(names));
        page.put("HasMore", false);
        return Json.write(page);
    }

    private synchronized String follow(Http.Request request) throws InterruptedException {
        String table = request.query("Table");
        long after = Long.parseLong(request.query("After"));
        long endAt = System.nanoTime() + Math.min(30_000, Long.parseLong(request.query("WaitMs"))) * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Map.Entry<String, TreeMap<String, Row>> entry : parts.entrySet()) {
                if (!entry.getKey().startsWith(table + "\n")) continue;
                for (Row row : entry.getValue().values()) if (row.ver > after) changed.add(row);
            }
            long left = (endAt - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                changed.sort(Comparator.comparingLong(row -> row.ver));
                return page(changed, false, version);
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Request request) throws IOException {
        Map<String, Object> body = Json.object(new String(request.body, StandardCharsets.UTF_8));
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("ExpectedRev", List.of());
        List<Map<String, Object>> upserts = (List<Map<String, Object>>) body.getOrDefault("Upserts", List.of());
        List<Map<String, Object>> removes = (List<Map<String, Object>>) body.getOrDefault("Remove", List.of());
        List<Map<String, Object>> all = new ArrayList<>(upserts);
        all.addAll(removes);
        for (Map<String, Object> each : all) {
            if (Set.of("op", "servers").contains(each.get("Table"))) {
                request.channel.respondJson(403, "{}");
                return;
            }
        }
        String answer;
        int status = 200;
        synchronized (this) {
            boolean isMet = true;
            List<Row> current = new ArrayList<>();
            for (Map<String, Object> each : expected) {
                Row row = part((String) each.get("Table"), partOf(each)).get((String) each.get("Key"));
                boolean exists = row != null && row.value != null;
                if (exists) current.add(row);
                long wanted = each.get("Ver") == null ? 0 : (Long) each.get("Ver");
                if ((exists ? row.ver : 0) != wanted) isMet = false;
            }
            if (isMet) {
                version++;
                for (Map<String, Object> each : upserts) apply(each, (String) each.get("Value"));
                for (Map<String, Object> each : removes) apply(each, null);
                notifyAll();
                answer = page(List.of(), false, version);
            } else {
                status = 412;
                answer = page(current, false, version);
            }
        }
        request.channel.respondJson(status, answer);
    }

    private static String partOf(Map<String, Object> row) {
        Object part = row.get("part");
        return part == null ? "" : (String) part;
    }

    private void apply(Map<String, Object> change, String value) {
        Row row = new Row();
        row.table = (String) change.get("Table");
        row.part = partOf(change);
        row.key = (String) change.get("Key");
        row.value = value;
        row.ver = version;
        part(row.table, row.part).put(row.key, row);
    }
}
