import java.util.ArrayList;
import java.util.List;

/** The coordinator's machine freezes, batch jobs are ended meanwhile, and the machine wakes. */
public final class FrozenCoordinator {
    private static final double FREEZE_S = 3.9;
    private static final double CANCEL_S = 3.0;
    private static final int JOBS = 2;
    private static final int ITEMS = 200;
    private static final String MANIFEST =
        "{\"Version\":1,\"Routes\":[{\"Name\":\"plan\",\"Hostname\":\"h.example\",\"Prefix\":\"/plan/\",\"Type\":\"batch\","
            + "\"Service\":\"s\",\"SloMs\":400,\"TimeoutMs\":15000,\"CompletionTargetMs\":18000,\"KeepS\":60,\"MaxAttempts\":3,"
            + "\"MaxCount\":780000,\"Priority\":2}],\"Services\":[{\"Name\":\"s\"}],"
            + "\"Tenants\":[{\"Name\":\"team\",\"ApiKeys\":[\"key-1\"]}]}";

    public static void main(String[] args) {
        Case.main(args, FrozenCoordinator::run);
    }

    private static boolean run(boolean isTroubled) throws Exception {
        Store store = new Store();
        store.put("op", "config", MANIFEST);
        try (Fleet fleet = new Fleet(store, 3)) {
            List<Worker> workers = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                Worker worker = new Worker(store, "i-" + i, "s", 8, 10, 25, 0);
                worker.senders = fleet::senderOf;
                worker.start();
                workers.add(worker);
            }
            fleet.startAll();
            Jobs jobs = new Jobs("h.example", "key-1");
            Fleet.Vm coordinator = fleet.coordinator();
            List<String> others = new ArrayList<>();
            for (Fleet.Vm vm : fleet.others(coordinator)) others.add(vm.front());
            for (int job = 1; job <= JOBS; job++) {
                List<String> items = new ArrayList<>();
                for (int i = 0; i < ITEMS; i++) items.add(String.format("%08x", 0xa0000000L + 0x10000L * job + i));
                if (jobs.submit(others, "/plan/", "job" + job, Jobs.body("/plan/", items, 1000)) < 0) throw new IllegalStateException("not accepted");
            }
            Thread.sleep(1000);
            if (isTroubled) fleet.signal(coordinator, "STOP");
            double frozenAt = Record.now();
            double endedAt = 0;
            for (int job = 1; job <= JOBS; job++) {
                endedAt = jobs.end(others, "job" + job);
                if (endedAt < 0) throw new IllegalStateException("the end was not acknowledged");
            }
            Thread.sleep((long) Math.max(0, (frozenAt + FREEZE_S - Record.now()) * 1000));
            if (isTroubled) fleet.signal(coordinator, "CONT");
            Thread.sleep(4000);
            int late = 0;
            for (Worker worker : workers) {
                for (Worker.Run run : worker.runs()) {
                    boolean isLate = run.arrivedAt > endedAt + CANCEL_S && !run.sender.equals(coordinator.name) && !run.sender.equals("unknown");
                    if (isLate) late++;
                    Record.log("item %s ran at %s from %.3f to %.3f, sent by %s%s", run.id, worker.id, run.startedAt, run.endedAt, run.sender,
                        run.arrivedAt <= endedAt ? "" : String.format(", %.3f s after the end was acknowledged%s", run.arrivedAt - endedAt, isLate ? ": LATE" : ""));
                }
            }
            for (Fleet.Vm vm : fleet.vms) fleet.logLines(vm, "coordinator", "follower", "job_ended");
            Record.log("%d items of the ended jobs reached a worker from a machine in touch more than %.0f ms after the last ack", late, CANCEL_S * 1000);
            return late == 0;
        }
    }
}
