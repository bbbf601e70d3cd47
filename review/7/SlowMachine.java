import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** One machine has the smallest link of the sheet; every accepted item must be listed all the same. */
final class SlowMachine {
    private static final int ITEMS = 10;
    private static final int ITEM_BYTES = 300_000;
    private static final long SMALLEST_LINK = 15_400_000L / 8;
    private static final long LARGEST_LINK = 420_000_000L / 8;
    private static final double JOBS_PER_S = 0.5;
    private static final int TRAFFIC_S = 12;
    private static final int FINISH_S = 18;

    public static void main(String[] args) throws IOException {
        Kit kit = new Kit(Path.of(args[0]));
        kit.contracts = "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"health\",\"pool\",\"batch\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]";
        kit.store.put("op", "config", Kit.manifest(1));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            workers.add(new Worker("i-" + (i + 1), "127.0.0.1", 8, 139, 12).register(kit.store, Kit.SERVICE, Kit.ZONES[i % 3]));
        }
        kit.addMachines(3);
        for (Kit.Vm vm : kit.vms) {
            boolean isSmall = kit.trouble && vm.number == 2;
            if (isSmall) {
                // The machines of the sheet with the smallest link have 0.27 cores.
                vm.cpuShare = "0.27";
                vm.cores = "1";
            }
            vm.storeAddress = new SlowLink("127.0.0.1", "127.0.0.1:" + kit.store.port(), isSmall ? SMALLEST_LINK : LARGEST_LINK).address();
        }
        kit.startFleet();
        Kit.sleep(3000);
        Batch batch = new Batch(kit, Kit.KEY);
        ConcurrentLinkedQueue<Batch.Job> jobs = new ConcurrentLinkedQueue<>();
        double from = kit.seconds();
        for (int at = 0; kit.seconds() - from < TRAFFIC_S; at++) {
            Batch.Job job = batch.job(ITEMS, ITEM_BYTES);
            jobs.add(job);
            int number = at;
            Http.thread("client", () -> batch.submit(job, number));
            Kit.sleep((long) (1000 / JOBS_PER_S));
        }
        Kit.sleep(4_000);
        kit.note("traffic ends: " + jobs.stream().filter(Batch.Job::isAccepted).count() + " of " + jobs.size() + " jobs accepted");
        Kit.sleep(FINISH_S * 1000L);
        int before = finished(workers);
        long since = System.nanoTime();
        int places = workers.stream().mapToInt(it -> it.slots).sum();
        boolean halfFull = false;
        for (int i = 0; i < 50; i++) {
            if (workers.stream().mapToInt(it -> it.active.get()).sum() * 2 >= places) halfFull = true;
            Kit.sleep(100);
        }
        int after = finished(workers);
        int missing = 0;
        int atWork = 0;
        int listed = 0;
        for (Batch.Job job : jobs) {
            if (!job.isAccepted()) continue;
            for (int attempt = 0; attempt < 4 && batch.read(job, attempt) != 200; attempt++) Kit.sleep(200);
            listed += job.states.size();
            for (String item : job.items) {
                if (job.states.containsKey(item)) continue;
                missing++;
                if (workers.stream().anyMatch(it -> it.had(item, since))) atWork++;
            }
        }
        for (Kit.Vm vm : kit.vms) {
            kit.note(vm.name + ": alive " + vm.isAlive() + ", ready " + vm.isReady() + ", runs given up for want of the bodies "
                + vm.logged("bodies_unavailable").size());
        }
        kit.note("listed " + listed + ", missing " + missing + " (at a worker in the last 5 s: " + atWork
            + "); workers half full in the last 5 s: " + halfFull + ", items finished in them: " + (after - before));
        boolean isLost = missing > atWork && !halfFull && before == after;
        kit.finish(!isLost, isLost ? "LOST: " + missing + " accepted items are not listed" : "every accepted item is listed or still at work");
    }

    private static int finished(List<Worker> workers) {
        return workers.stream().mapToInt(it -> it.finished.size()).sum();
    }
}
