import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One machine gets SIGTERM; clients use the directory's answer for as long as the pages say. */
public final class ShutdownCut {
    private static final double GRACE_S = 8.0;
    private static final double TTL_TIMES = 3.0;
    private static final long BUDGET_MS = 5000;
    private static final String MANIFEST =
        "{\"Version\":1,\"Routes\":[{\"Name\":\"ask\",\"Hostname\":\"h.example\",\"Prefix\":\"/ask/\",\"Type\":\"stream\","
            + "\"Service\":\"s\",\"SloMs\":300,\"GapTargetMs\":400,\"TimeoutMs\":5000,\"MaxAttempts\":1}],\"Services\":[{\"Name\":\"s\"}],"
            + "\"Tenants\":[{\"Name\":\"team\",\"ApiKeys\":[\"key-1\"]}]}";

    /** One request of a client. */
    private static final class Sent {
        String id;
        String address;
        double at;
        volatile double endedAt = -1;
        volatile Http.Answer answer;
    }

    private static final List<Sent> requests = Collections.synchronizedList(new ArrayList<>());
    private static final AtomicInteger ids = new AtomicInteger();

    public static void main(String[] args) {
        Case.main(args, ShutdownCut::run);
    }

    @SuppressWarnings("unchecked")
    private static void client(Fleet fleet, int number, double until) throws InterruptedException {
        Random random = new Random(number);
        List<String> addresses = new ArrayList<>();
        double resolvedAt = -100;
        double ttl = 0;
        while (Record.now() < until) {
            if (Record.now() - resolvedAt > ttl * TTL_TIMES || addresses.isEmpty()) {
                for (Fleet.Vm vm : fleet.vms) {
                    Http.Answer answer = Http.send(vm.directory(), "GET", "/-/resolve?Name=h.example&Region=r&Zone=z" + number,
                        Map.of("Host", "directory"), new byte[0], 1000);
                    if (answer.status != 200) continue;
                    Map<String, Object> fields = Json.object(answer.body);
                    addresses = new ArrayList<>();
                    for (Object each : (List<Object>) fields.get("Addresses")) addresses.add((String) each);
                    ttl = Math.min(5, ((Number) fields.get("TtlS")).doubleValue());
                    resolvedAt = Record.now();
                    break;
                }
            }
            Sent sent = new Sent();
            sent.id = String.format("c%d%014x", number, ids.incrementAndGet());
            sent.address = addresses.get(random.nextInt(addresses.size()));
            sent.at = Record.now();
            requests.add(sent);
            List<String> current = addresses;
            Http.daemon(() -> {
                Map<String, String> headers = Fleet.headers("h.example", "key-1", sent.id, "X-Agatestream-Deadline-Ms", "" + BUDGET_MS,
                    "X-Agatestream-Model", "m", "X-Agatestream-Token-Usage", "450,300", "X-Agatestream-Prompt-Prefix", sent.id.substring(1) + ":250");
                sent.answer = Http.send(sent.address, "POST", "/ask/1", headers, "question".getBytes(), BUDGET_MS);
                sent.endedAt = Record.now();
                if (sent.answer.status != 200) synchronized (current) {
                    if (current.size() > 1) current.remove(sent.address);
                }
            });
            Thread.sleep(250);
        }
    }

    private static boolean run(boolean isTroubled) throws Exception {
        Store store = new Store();
        store.put("op", "config", MANIFEST);
        try (Fleet fleet = new Fleet(store, 3)) {
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                Worker worker = new Worker(store, "i-" + i, "s", 16, 48, 50, 0);
                worker.senders = fleet::senderOf;
                worker.start();
                workers.add(worker);
            }
            fleet.startAll();
            double start = Record.now();
            for (int i = 1; i <= 4; i++) {
                int number = i;
                Http.daemon(() -> {
                    try {
                        client(fleet, number, start + 16);
                    } catch (InterruptedException e) {
                        // The script ends.
                    }
                });
            }
            // Just before, each client resolves once more.
            Thread.sleep(6300);
            Fleet.Vm leaving = fleet.others(fleet.coordinator()).get(0);
            double termAt = Record.now();
            if (isTroubled) fleet.signal(leaving, "TERM");
            while (Record.now() < termAt + GRACE_S) {
                Thread.sleep(20);
                if (isTroubled && !leaving.process.isAlive()) {
                    Record.log("%s has exited, %.3f s after SIGTERM", leaving.name, Record.now() - termAt);
                    break;
                }
            }
            if (isTroubled && leaving.process.isAlive()) leaving.process.destroyForcibly();
            Thread.sleep((long) Math.max(0, (start + 16 + 5.5 - Record.now()) * 1000));
            Map<String, Worker.Run> runs = new LinkedHashMap<>();
            for (Worker worker : workers) for (Worker.Run run : worker.runs()) runs.put(run.id, run);
            int lost = 0;
            int served = 0;
            for (Sent sent : new ArrayList<>(requests)) {
                Worker.Run run = runs.get(sent.id);
                boolean isCounted = isTroubled && sent.address.equals(leaving.front()) && sent.at > termAt + 3 && sent.at < termAt + GRACE_S + 1;
                boolean isUnanswered = sent.answer != null && !sent.answer.isComplete && sent.answer.isSent
                    && sent.endedAt < sent.at + BUDGET_MS / 1000.0 - 0.05;
                boolean isLost = isCounted && isUnanswered && run != null;
                if (isLost) lost++;
                if (sent.answer != null && sent.answer.status == 200 && sent.answer.isComplete) served++;
                Record.log("%s sent at %.3f%s to %s: %s at %.3f; %s%s", sent.id, sent.at,
                    isTroubled ? String.format(" (SIGTERM %+.3f)", sent.at - termAt) : "", sent.address, sent.answer, sent.endedAt,
                    run == null ? "not run" : String.format("run from %.3f to %.3f%s, sent by %s", run.startedAt, run.endedAt, run.isWhole ? "" : " (its sender closed)", run.sender),
                    isLost ? ": LOST" : "");
            }
            Record.log("%d requests, %d served; %d sent later than 3 s after SIGTERM were passed on to a worker, and their channel ended"
                + " without a complete answer before their time was up", requests.size(), served, lost);
            return lost == 0;
        }
    }
}
