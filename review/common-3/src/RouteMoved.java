import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The batch route is moved to another service; items must not reach the old one later than ConfigApplyMs. */
final class RouteMoved {
    private static final int CONFIG_APPLY_MS = 3000;
    private static final int ITEMS = 10;
    private static final int ITEM_BYTES = 265_000;
    private static final double LINK_MBPS = 21;

    public static void main(String[] args) throws Exception {
        Lib.run(RouteMoved::body);
    }

    private static int body() throws Exception {
        Store store = new Store();
        List<Worker> older = new ArrayList<>();
        List<Worker> newer = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Worker old = new Worker("w-" + i, 8, 30, 15, 65);
            older.add(old);
            store.put("servers", old.id, old.entry("llm", "z0", "ready"));
            Worker other = new Worker("x-" + i, 8, 30, 15, 65);
            newer.add(other);
            store.put("servers", other.id, other.entry("llm-2", "z0", "ready"));
        }
        Map<String, List<String>> tenants = new LinkedHashMap<>();
        tenants.put("ta", List.of("key-a"));
        String services = "{\"Name\":\"llm\"},{\"Name\":\"llm-2\"}";
        store.put("op", "config", Lib.manifest(3, 0, tenants).replace("{\"Name\":\"llm\"}", services));
        List<Integer> seeds = List.of(Lib.freePort(), Lib.freePort(), Lib.freePort());
        Link link = new Link(store.port(), LINK_MBPS);
        List<Lib.Vm> vms = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            vms.add(new Lib.Vm("vm-" + i, "z0", i == 2 ? link.port() : store.port(), seeds, seeds.get(i)));
        }
        for (Lib.Vm vm : vms) {
            vm.start();
            vm.awaitServing();
            Thread.sleep(1000);
        }
        Lib.note("3 VMs serve; vm-2 reaches the store at " + LINK_MBPS + " Mbit/s");
        Thread.sleep(5000);

        List<Thread> calls = new ArrayList<>();
        int[] accepted = {0};
        for (int i = 0; i < 3; i++) {
            String job = Lib.hex(0x7c00000000000000L + i * 0x100000L);
            byte[] content = Lib.job(job, ITEMS, ITEM_BYTES, 500);
            calls.add(Lib.thread("submit", () -> {
                Http.Message answer = Lib.submit(vms.get(1), "key-a", job, content, 4000);
                Lib.note("job " + job + " of " + content.length + " bytes: " + Lib.status(answer));
                synchronized (accepted) {
                    if (answer != null && answer.status() == 202) accepted[0]++;
                }
            }));
        }
        for (Thread call : calls) call.join();
        if (accepted[0] < 3) return 2;
        Thread.sleep(150);
        String moved = Lib.manifest(5, 0, tenants).replace("{\"Name\":\"llm\"}", services);
        if (Lib.TROUBLE) {
            moved = moved.replace("\"Type\":\"batch\",\"Service\":\"llm\"", "\"Type\":\"batch\",\"Service\":\"llm-2\"");
        }
        store.put("op", "config", moved);
        long ackAt = Lib.now();
        Lib.note("version 5 of the manifest is acknowledged; the batch route "
            + (Lib.TROUBLE ? "is moved to llm-2" : "stays as it was"));
        Thread.sleep(12_000);

        int late = 0;
        for (Worker worker : older) {
            for (Worker.Run run : worker.runs) {
                long after = run.atMs() - ackAt;
                Lib.note("item " + run.id() + " ran at " + run.worker() + " of llm, " + after + " ms after the ack");
                if (after > CONFIG_APPLY_MS) late++;
            }
        }
        int others = newer.stream().mapToInt(it -> it.runs.size()).sum();
        Lib.note(others + " runs at llm-2");
        Lib.note(late + " items reached a worker of llm later than " + CONFIG_APPLY_MS + " ms after the ack");
        return Lib.TROUBLE && late > 0 ? 1 : 0;
    }
}
