import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant presses beyond its limit of waiting tokens; the jobs of another tenant must still be finished. */
final class LeakedBodies {
    private static final int ITEMS = 10;
    private static final int TRAFFIC_S = 54;
    private static final int FINISH_S = 18;
    private static final String CALM = "key-a";
    private static final String HOT = "key-b";

    private static final List<Lib.Vm> VMS = new ArrayList<>();
    private static final List<Worker> WORKERS = new ArrayList<>();
    private static final AtomicInteger TURN = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Lib.run(LeakedBodies::body);
    }

    private static Lib.Vm nextVm() {
        return VMS.get(TURN.getAndIncrement() % VMS.size());
    }

    private static int body() throws Exception {
        Store store = new Store();
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker("w-" + i, 8, 100, 15, 650);
            WORKERS.add(worker);
            store.put("servers", worker.id, worker.entry("z" + (i % 2), "ready"));
        }
        Map<String, List<String>> tenants = new LinkedHashMap<>();
        tenants.put("ta", List.of(CALM));
        tenants.put("tb", List.of(HOT));
        store.put("op", "config", Lib.manifest(3, 10_000, tenants));
        List<Integer> seeds = List.of(Lib.freePort(), Lib.freePort(), Lib.freePort());
        for (int i = 0; i < 3; i++) VMS.add(new Lib.Vm("vm-" + i, "z" + (i % 2), store.port(), seeds, seeds.get(i)));
        for (Lib.Vm vm : VMS) vm.start();
        for (Lib.Vm vm : VMS) vm.awaitServing();
        Lib.note("3 VMs serve");

        long end = Lib.now() + TRAFFIC_S * 1000L;
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        List<Thread> senders = new ArrayList<>();
        // The calm tenant: a job of ten items of 15 kB every 1.5 s.
        senders.add(Lib.thread("calm", () -> {
            for (int n = 0; Lib.now() < end; n++) {
                String id = Lib.hex(0x1a00000000000000L + n * 0x100000L);
                Lib.thread("job", () -> send("calm", CALM, id, Lib.job(id, ITEMS, 15_000, 500), accepted, answers));
                Thread.sleep(1500);
            }
        }));
        // The other tenant: a job every 2 s; in trouble 7.5 times as many for 6.5 s, again and again.
        senders.add(Lib.thread("hot", () -> {
            for (int n = 0; Lib.now() < end; n++) {
                String id = Lib.hex(0x1b00000000000000L + n * 0x100000L);
                // Most jobs are nearly as large as the manifest allows.
                long phase = (Lib.now() - (end - TRAFFIC_S * 1000L)) % 7000;
                boolean isHot = Lib.TROUBLE && phase < 6500;
                int bytes = n % 8 == 7 ? 15_000 : n % 8 == 6 ? 2_000 : 310_000;
                Lib.thread("job", () -> send("hot", HOT, id, Lib.job(id, ITEMS, bytes, 500), accepted, answers));
                Thread.sleep(isHot ? 267 : 2000);
            }
        }));
        while (Lib.now() < end) {
            Thread.sleep(5000);
            Lib.note("objects in the store: " + store.blobCount() + " of " + store.blobBytes() / 1_000_000
                + " MB, refused with 507: " + store.refusedBlobs + ", answers to submissions: " + answers);
        }
        for (Thread sender : senders) sender.join();
        Lib.note("traffic has ended; " + accepted.size() + " jobs are accepted");
        Thread.sleep(FINISH_S * 1000L - 5000);
        int runs = runs();
        Thread.sleep(5000);
        int lastRuns = runs() - runs;
        AtomicInteger unlisted = new AtomicInteger();
        List<Thread> readers = new ArrayList<>();
        for (String id : accepted) readers.add(Lib.thread("read", () -> unlisted.addAndGet(countUnlisted(id))));
        for (Thread reader : readers) reader.join();
        Lib.note("runs that began in the last 5 s: " + lastRuns);
        Lib.note("objects in the store: " + store.blobCount() + " of " + store.blobBytes() / 1_000_000
            + " MB, refused with 507: " + store.refusedBlobs);
        Lib.note("items of accepted jobs that are not listed " + FINISH_S + " s after the traffic: " + unlisted);
        if (lastRuns > 0) {
            Lib.note("the workers were not idle");
            return 2;
        }
        return unlisted.get() > 0 ? 1 : 0;
    }

    /** Reads the results of a job from its start, at one VM after the other, and returns how many items they lack. */
    private static int countUnlisted(String id) throws Exception {
        Set<String> listed = new HashSet<>();
        String key = id.startsWith("1a") ? CALM : HOT;
        int after = 0;
        int empty = 0;
        for (int i = 0; i < 40 && listed.size() < ITEMS && empty < 6; i++) {
            Http.Message page = Lib.read(VMS.get(i % 3), key, id, after);
            if (page == null || page.status() != 200) {
                Thread.sleep(200);
                continue;
            }
            Map<String, Object> map = Json.object(page.text());
            List<?> results = (List<?>) map.get("Results");
            for (Object result : results) listed.add((String) ((Map<?, ?>) result).get("Id"));
            after = ((Number) map.get("Next")).intValue();
            if (results.isEmpty()) empty++;
        }
        int missing = ITEMS - listed.size();
        if (missing > 0) Lib.note("job " + id + " of " + key + ": " + missing + " of " + ITEMS + " items are not listed");
        return missing;
    }

    private static int runs() {
        return WORKERS.stream().mapToInt(it -> it.runs.size()).sum();
    }

    /** Submits a job at up to two VMs, as a client with one retry. */
    private static void send(String who, String key, String id, byte[] body, Set<String> accepted, Map<String, Integer> answers)
            throws Exception {
        for (int attempt = 0; attempt < 2; attempt++) {
            Http.Message answer = Lib.submit(nextVm(), key, id, body, 4000);
            answers.merge(who + " " + Lib.status(answer), 1, Integer::sum);
            if (answer != null && answer.status() == 202) {
                accepted.add(id);
                return;
            }
            Thread.sleep(1000);
        }
    }
}
