import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** One of the coordinator's channels to the store goes silent, a batch route is added, and a job comes on it. */
public final class StaleManifest {
    private static final double FINISH_S = 18.0;

    public static void main(String[] args) {
        Case.main(args, StaleManifest::run);
    }

    private static String manifest(int version, String... prefixes) {
        List<String> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add("{\"Name\":\"r-" + prefix.replace("/", "") + "\",\"Hostname\":\"h.example\",\"Prefix\":\"" + prefix + "\",\"Type\":\"batch\","
                + "\"Service\":\"s\",\"SloMs\":400,\"TimeoutMs\":15000,\"CompletionTargetMs\":18000,\"KeepS\":60,\"MaxAttempts\":3,"
                + "\"MaxCount\":780000,\"Priority\":2}");
        }
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":[{\"Name\":\"s\"}],"
            + "\"Tenants\":[{\"Name\":\"team\",\"ApiKeys\":[\"key-1\"]}]}";
    }

    private static boolean run(boolean isTroubled) throws Exception {
        Store store = new Store();
        store.put("op", "config", manifest(1, "/plan/"));
        try (Fleet fleet = new Fleet(store, 3)) {
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                Worker worker = new Worker(store, "i-" + i, "s", 8, 20, 25, 0);
                worker.senders = fleet::senderOf;
                worker.start();
                workers.add(worker);
            }
            fleet.startAll();
            Jobs jobs = new Jobs("h.example", "key-1");
            Fleet.Vm coordinator = fleet.coordinator();
            List<String> all = fleet.vms.stream().map(Fleet.Vm::front).collect(Collectors.toList());
            List<String> others = fleet.others(coordinator).stream().map(Fleet.Vm::front).collect(Collectors.toList());
            List<String> items = new ArrayList<>();
            for (int i = 0; i < 10; i++) items.add(String.format("%08x", 0xb0000000L + i));
            if (isTroubled) {
                if (!store.silence(coordinator.name, "op")) throw new IllegalStateException("no channel to make silent");
                Record.log("one channel of %s to the store goes silent", coordinator.name);
            }
            store.put("op", "config", manifest(2, "/plan/", "/extra/"));
            Record.log("manifest 2 adds a batch route; the store has acknowledged it");
            Thread.sleep(300);
            double acceptedAt = jobs.submit(others, "/extra/", "job1", Jobs.body("/extra/", items, 1000));
            if (acceptedAt < 0) throw new IllegalStateException("the job was not accepted");
            List<Jobs.Result> results = null;
            while (Record.now() < acceptedAt + FINISH_S && (results == null || results.size() < items.size())) {
                Thread.sleep(500);
                results = jobs.results(all, "job1");
            }
            for (Worker worker : workers) {
                for (Worker.Run run : worker.runs()) {
                    Record.log("item %s ran at %s from %.3f to %.3f, sent by %s", run.id, worker.id, run.startedAt, run.endedAt, run.sender);
                }
            }
            int wrong = 0;
            for (Jobs.Result result : results == null ? List.<Jobs.Result>of() : results) {
                boolean isWhole = result.state.equals("completed") && result.output.equals(workers.get(0).output(result.item));
                if (!isWhole) wrong++;
                Record.log("item %s is listed as %s%s", result.item, result.state, isWhole ? "" : ": WRONG");
            }
            for (Fleet.Vm vm : fleet.vms) fleet.logLines(vm, "item_given_up", "manifest_applied", "feed_lost", "feed_reset", "coordinator_named");
            int listed = results == null ? 0 : results.size();
            Record.log("%d of %d items are listed, %d of them not completed, though no worker had answered 500 or 422, no item was older"
                + " than KeepS, and the job and its route were in force", listed, items.size(), wrong);
            return wrong == 0 && listed == items.size();
        }
    }
}
