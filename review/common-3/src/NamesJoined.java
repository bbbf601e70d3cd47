import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The manifest adds a tenant whose name begins with that of another one; the jobs of both must stay apart. */
final class NamesJoined {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int ITEMS = 12;

    public static void main(String[] args) throws Exception {
        Lib.run(NamesJoined::body);
    }

    private static int body() throws Exception {
        Store store = new Store();
        for (int i = 0; i < 2; i++) {
            Worker worker = new Worker("w-" + i, 4, 40, 20, 65);
            store.put("servers", worker.id, worker.entry("z" + i, "ready"));
        }
        Map<String, List<String>> tenants = new LinkedHashMap<>();
        tenants.put("ta", List.of("key-a"));
        store.put("op", "config", Lib.manifest(3, 0, tenants));
        List<Integer> seeds = List.of(Lib.freePort(), Lib.freePort(), Lib.freePort());
        List<Lib.Vm> vms = new ArrayList<>();
        for (int i = 0; i < 3; i++) vms.add(new Lib.Vm("vm-" + i, "z" + (i % 2), store.port(), seeds, seeds.get(i)));
        for (Lib.Vm vm : vms) vm.start();
        for (Lib.Vm vm : vms) vm.awaitServing();
        Lib.note("3 VMs serve");
        if (Lib.TROUBLE) {
            tenants.put("ta-b", List.of("key-b"));
            store.put("op", "config", Lib.manifest(5, 0, tenants));
            Lib.note("the manifest with the tenant ta-b is acknowledged");
        }
        Thread.sleep(3000);
        // The new tenant's job has 5 items; without the new tenant this is refused.
        byte[] other = Lib.job("0b5" + JOB, 5, 15_000, 500);
        Lib.note("job " + JOB + " of ta-b: " + Lib.status(Lib.submit(vms.get(0), "key-b", JOB, other, 4000)));
        Thread.sleep(3000);
        String job = "b-" + JOB;
        byte[] content = Lib.job("0a0" + JOB, ITEMS, 15_000, 500);
        Http.Message accepted = Lib.submit(vms.get(1), "key-a", job, content, 4000);
        Lib.note("job " + job + " of ta: " + Lib.status(accepted));
        if (accepted == null || accepted.status() != 202) return 2;
        int broken = 0;
        Set<String> completed = new HashSet<>();
        Set<String> noted = new HashSet<>();
        for (int i = 0; i < 30 && completed.size() < ITEMS; i++) {
            Thread.sleep(500);
            for (Lib.Vm vm : vms) {
                Http.Message page = Lib.read(vm, "key-a", job, 0);
                if (page == null || page.status() != 200) {
                    Lib.note(vm.name + " answers " + Lib.status(page));
                    continue;
                }
                Map<String, Object> map = Json.object(page.text());
                if (((Number) map.get("Total")).intValue() != ITEMS) {
                    broken++;
                    if (noted.add(vm.name)) Lib.note("MIXED: " + vm.name + " says Total " + map.get("Total") + " for a job of " + ITEMS);
                }
                for (Object result : (List<?>) map.get("Results")) {
                    Map<?, ?> fields = (Map<?, ?>) result;
                    if (!completed.add((String) fields.get("Id"))) continue;
                    if ("dead_letter".equals(fields.get("State"))) {
                        broken++;
                        Lib.note("MIXED: " + fields.get("Id") + " is a dead_letter, " + (i + 1) * 500
                            + " ms after the 202; no worker answered 422 or 500");
                    }
                }
            }
        }
        Lib.note(completed.size() + " of " + ITEMS + " items are listed");
        return broken > 0 ? 1 : 0;
    }
}
