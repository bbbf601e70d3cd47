import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The coordinating process stands still several times while the store is down; batch jobs must go on afterwards. */
final class Unconfirmed {
    private static final int DOWN_MS = 7000;
    private static final int FREEZE_MS = 600;
    private static final int FINISH_S = 18;
    private static final int ITEMS = 10;

    private static final List<Lib.Vm> VMS = new ArrayList<>();
    private static final List<Worker> WORKERS = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        Lib.run(Unconfirmed::body);
    }

    private static int runs() {
        return WORKERS.stream().mapToInt(it -> it.runs.size()).sum();
    }

    private static long runsOf(String job) {
        return WORKERS.stream().flatMap(it -> List.copyOf(it.runs).stream())
            .filter(it -> it.id().startsWith(job.substring(0, 12))).count();
    }

    private static int body() throws Exception {
        Store store = new Store();
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker("w-" + i, 8, 60, 20, 65);
            WORKERS.add(worker);
            store.put("servers", worker.id, worker.entry("z" + (i % 2), "ready"));
        }
        Map<String, List<String>> tenants = new LinkedHashMap<>();
        for (int i = 0; i < 8; i++) tenants.put("t" + i, List.of("key-" + i));
        tenants.put("ta", List.of("key-a"));
        store.put("op", "config", Lib.manifest(3, 0, tenants));
        List<Integer> seeds = List.of(Lib.freePort(), Lib.freePort(), Lib.freePort());
        for (int i = 0; i < 3; i++) VMS.add(new Lib.Vm("vm-" + i, "z" + (i % 2), store.port(), seeds, seeds.get(i)));
        for (Lib.Vm vm : VMS) vm.start();
        for (Lib.Vm vm : VMS) vm.awaitServing();
        Lib.note("3 VMs serve");

        // A job of ten items every 0.7 s, of one tenant after the other.
        Map<String, String> jobs = new LinkedHashMap<>();
        long begin = Lib.now();
        long downAt = begin + 12_000;
        long end = downAt + DOWN_MS + 8000;
        Thread sender = Lib.thread("jobs", () -> {
            for (int n = 0; Lib.now() < end; n++) {
                String id = Lib.hex(0x1c00000000000000L + n * 0x100000L);
                String key = "key-" + n % 8;
                int first = n;
                Lib.thread("job", () -> {
                    for (int i = 0; i < 2; i++) {
                        Lib.Vm vm = VMS.get((first + i) % 3);
                        Http.Message answer = Lib.submit(vm, key, id, Lib.job(id, ITEMS, 3000, 500), 4000);
                        Lib.note("job " + id + " of " + ITEMS + " items at " + vm.name + ": " + Lib.status(answer));
                        if (answer != null && answer.status() == 202) {
                            synchronized (jobs) {
                                jobs.put(id, key);
                            }
                            return;
                        }
                        Thread.sleep(500);
                    }
                });
                Thread.sleep(700);
            }
        });
        Thread.sleep(downAt - Lib.now());
        String row = store.get("fleet", "", "coordinator");
        Lib.Vm coordinator = VMS.stream().filter(it -> row.contains("\"name\":\"" + it.name + "\"")).findFirst().orElseThrow();
        Lib.note("the store names " + coordinator.name + " as coordinator; runs so far: " + runs());
        if (Lib.TROUBLE) {
            store.isDown = true;
            Lib.note("the store is down for " + DOWN_MS + " ms: it resets all connections");
            long upAt = Lib.now() + DOWN_MS;
            while (Lib.now() + FREEZE_MS + 400 < upAt) {
                coordinator.signal("STOP");
                Thread.sleep(FREEZE_MS);
                coordinator.signal("CONT");
                Thread.sleep(200);
            }
            Thread.sleep(upAt - Lib.now());
            store.isDown = false;
            Lib.note("the store is up again");
        } else {
            Thread.sleep(DOWN_MS);
        }
        sender.join();
        Lib.note("traffic has ended; accepted jobs: " + jobs.size() + ", runs so far: " + runs());
        for (int i = 0; i < FINISH_S / 3; i++) {
            Thread.sleep(3000);
            Lib.note("runs so far: " + runs() + ", the store names " + store.get("fleet", "", "coordinator"));
        }
        int unlisted = 0;
        int openJobs = 0;
        synchronized (jobs) {
            for (Map.Entry<String, String> job : jobs.entrySet()) {
                Set<String> listed = new HashSet<>();
                int after = 0;
                for (int i = 0; i < 6 && listed.size() < ITEMS; i++) {
                    Http.Message page = Lib.read(VMS.get(i % 3), job.getValue(), job.getKey(), after);
                    if (page == null || page.status() != 200) continue;
                    Map<String, Object> map = Json.object(page.text());
                    for (Object result : (List<?>) map.get("Results")) listed.add((String) ((Map<?, ?>) result).get("Id"));
                    after = ((Number) map.get("Next")).intValue();
                }
                int missing = ITEMS - listed.size();
                Lib.note("job " + job.getKey() + ": " + runsOf(job.getKey()) + " runs, " + missing + " items not listed");
                if (missing > 0) openJobs++;
                unlisted += missing;
            }
        }
        Lib.note("unlisted items " + FINISH_S + " s after the traffic: " + unlisted + " of " + openJobs + " jobs");
        return unlisted > 0 ? 1 : 0;
    }
}
