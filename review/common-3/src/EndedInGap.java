import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Batch jobs are ended just after the coordinating process was killed; their items must not run later than CancelMs. */
final class EndedInGap {
    private static final int CANCEL_MS = 3000;
    private static final int ITEMS = 10;
    private static final int ITEM_BYTES = 265_000;
    private static final double LINK_MBPS = 21;

    public static void main(String[] args) throws Exception {
        Lib.run(EndedInGap::body);
    }

    private static int body() throws Exception {
        Store store = new Store();
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Worker worker = new Worker("w-" + i, 8, 30, 15, 65);
            workers.add(worker);
            store.put("servers", worker.id, worker.entry("z0", "ready"));
        }
        Map<String, List<String>> tenants = new LinkedHashMap<>();
        tenants.put("ta", List.of("key-a"));
        store.put("op", "config", Lib.manifest(3, 0, tenants));
        List<Integer> seeds = List.of(Lib.freePort(), Lib.freePort(), Lib.freePort());
        Link link = new Link(store.port(), LINK_MBPS);
        List<Lib.Vm> vms = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            vms.add(new Lib.Vm("vm-" + i, "z0", i == 2 ? link.port() : store.port(), seeds, seeds.get(i)));
        }
        // The first one to start coordinates.
        for (Lib.Vm vm : vms) {
            vm.start();
            vm.awaitServing();
            Thread.sleep(1000);
        }
        Lib.note("3 VMs serve; the coordinator's row: " + store.get("fleet", "", "coordinator"));
        Thread.sleep(5000);

        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 3; i++) jobs.add(Lib.hex(0x7c00000000000000L + i * 0x100000L));
        long sentAt = Lib.now();
        List<Thread> calls = new ArrayList<>();
        for (String job : jobs) {
            byte[] content = Lib.job(job, ITEMS, ITEM_BYTES, 500);
            calls.add(Lib.thread("submit", () -> {
                Http.Message answer = Lib.submit(vms.get(1), "key-a", job, content, 4000);
                Lib.note("job " + job + " of " + content.length + " bytes: " + Lib.status(answer));
            }));
        }
        for (Thread call : calls) call.join();
        Thread.sleep(150);
        if (Lib.TROUBLE) vms.get(0).signal("KILL");
        Thread.sleep(50);
        Map<String, Long> ends = new LinkedHashMap<>();
        for (String job : jobs) {
            Http.Message answer = Lib.end(vms.get(1), "key-a", job);
            Lib.note("end of job " + job + ": " + Lib.status(answer));
            if (answer == null || answer.status() != 200) return 2;
            ends.put(job, Lib.now());
        }
        Thread.sleep(9000);
        int late = 0;
        for (Worker worker : workers) {
            for (Worker.Run run : worker.runs) {
                String job = jobs.stream().filter(it -> it.startsWith(run.id().substring(0, 12))).findFirst().orElse(null);
                if (job == null) continue;
                long after = run.atMs() - ends.get(job);
                if (after > 0) Lib.note("item " + run.id() + " ran at " + run.worker() + ", " + after + " ms after the end's ack");
                if (after > CANCEL_MS) late++;
            }
        }
        int runs = workers.stream().mapToInt(it -> it.runs.size()).sum();
        Lib.note(runs + " runs since " + sentAt + " ms, of which " + late + " reached a worker later than " + CANCEL_MS
            + " ms after the ack of the job's end");
        return late > 0 ? 1 : 0;
    }
}
