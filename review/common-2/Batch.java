import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A client of batch jobs, and what it was answered. */
final class Batch {
    /** One batch job with its items and the results that were read. */
    static final class Job {
        final String id;
        final List<String> items = new ArrayList<>();
        final Map<String, String> states = new HashMap<>();
        final Map<String, String> outputs = new HashMap<>();
        final List<String> answers = new ArrayList<>();
        byte[] body;
        volatile double acceptedAt = -1;
        int total = -1;
        int read;

        Job(String id) {
            this.id = id;
        }

        boolean isAccepted() {
            return acceptedAt >= 0;
        }
    }

    private final Kit kit;
    private final String key;

    /** Jobs of the tenant that holds [key]. */
    Batch(Kit kit, String key) {
        this.kit = kit;
        this.key = key;
    }

    /** Makes a job of [items] items whose bodies have [bytes] bytes each. */
    Job job(int items, int bytes) {
        int[] sizes = new int[items];
        java.util.Arrays.fill(sizes, bytes);
        return job(sizes);
    }

    /** Makes a job with an item for each of [sizes], the number of bytes of its body. */
    Job job(int... sizes) {
        Job job = new Job(kit.newId());
        Random random = new Random();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes("{\"Requests\":[".getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < sizes.length; i++) {
            String id = kit.newId();
            job.items.add(id);
            byte[] prompt = new byte[sizes[i]];
            random.nextBytes(prompt);
            String head = (i > 0 ? "," : "") + "{\"Id\":\"" + id + "\",\"Path\":\"/pule252/3/91c4\",\"Headers\":{\"X-Agatestream-Model\":\"m\","
                + "\"X-Agatestream-Token-Usage\":\"350,221\",\"X-Agatestream-Prompt-Prefix\":\"9c2e41:100," + id.substring(0, 8)
                + ":250\"},\"Tokens\":571,\"Body\":\"";
            out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(Base64.getEncoder().encode(prompt));
            out.writeBytes("\"}".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.writeBytes("]}".getBytes(StandardCharsets.ISO_8859_1));
        job.body = out.toByteArray();
        return job;
    }

    Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Kit.HOST);
        headers.put("Api-Key", key);
        return headers;
    }

    /** Submits the job at the machine [at], and once more at the next one if it is not accepted. */
    void submit(Job job, int at) {
        for (int attempt = 0; attempt < 3 && !job.isAccepted(); attempt++) {
            Kit.Vm vm = kit.vms.get((at + attempt) % kit.vms.size());
            Map<String, String> headers = headers();
            headers.put("X-Agatestream-Attempt-Id", job.id);
            headers.put("X-Agatestream-Deadline-Ms", "4000");
            headers.put("Content-Type", "application/json");
            Http.Message answer = Http.send(vm.front(), "POST", "/pule252/7c41e0", job.body, headers, 4000);
            job.answers.add(answer.first);
            kit.note("job " + job.id + " of " + job.body.length + " bytes at " + vm.name + ": " + answer.first);
            if (answer.status() == 202) job.acceptedAt = kit.seconds();
            else Kit.sleep(300);
        }
        job.body = null;
    }

    /** Reads the results from the first unread position on, at the machine [at]; returns the status. */
    int read(Job job, int at) {
        while (true) {
            Kit.Vm vm = kit.vms.get(at % kit.vms.size());
            Http.Message answer = Http.send(vm.front(), "GET", "/-/lots/" + job.id + "?After=" + job.read, new byte[0], headers(), 4000);
            if (answer.status() != 200 || !answer.whole) return answer.status();
            Map<String, Object> page = Json.object(Json.read(answer.text()));
            job.total = ((Double) page.get("Total")).intValue();
            List<Object> results = Json.list(page.get("Results"));
            for (Object result : results) {
                Map<String, Object> fields = Json.object(result);
                String item = (String) fields.get("Id");
                if (job.states.put(item, (String) fields.get("State")) != null) kit.note("item " + item + " stands at two positions");
                job.outputs.put(item, String.valueOf(fields.get("Output")));
            }
            job.read += results.size();
            if (results.isEmpty() || job.read >= job.total) return 200;
        }
    }
}
