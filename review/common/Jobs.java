import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A client's calls for batch jobs. */
final class Jobs {
    /** A result as it is listed. */
    static final class Result {
        String item;
        String state;
        String output;
    }

    private final String host;
    private final String key;

    Jobs(String host, String key) {
        this.host = host;
        this.key = key;
    }

    /** Returns the body of a job whose items have bodies of this many bytes. */
    static byte[] body(String prefix, List<String> items, int bytes) {
        List<Object> requests = new ArrayList<>();
        byte[] content = new byte[bytes];
        for (int i = 0; i < bytes; i++) content[i] = (byte) (i * 31);
        String encoded = Base64.getEncoder().encodeToString(content);
        for (String id : items) {
            Map<String, Object> headers = new LinkedHashMap<>();
            headers.put("X-Agatestream-Model", "m");
            headers.put("X-Agatestream-Token-Usage", "350,400");
            headers.put("X-Agatestream-Prompt-Prefix", "9c2e41:100," + id + ":250");
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("Id", id);
            item.put("Path", prefix + id);
            item.put("Headers", headers);
            item.put("Body", encoded);
            item.put("Tokens", 750);
            requests.add(item);
        }
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("Requests", requests);
        return Json.write(job).getBytes(StandardCharsets.UTF_8);
    }

    /** Submits a job at each address in turn until one accepts it; returns the time of the 202 response, or -1. */
    double submit(List<String> addresses, String prefix, String job, byte[] body) throws InterruptedException {
        for (int attempt = 0; attempt < 6; attempt++) {
            String address = addresses.get(attempt % addresses.size());
            Http.Answer answer =
                Http.send(address, "POST", prefix + job, Fleet.headers(host, key, job, "Content-Type", "application/json"), body, 6000);
            Record.log("job %s (%d bytes) sent to %s: %s", job, body.length, address, answer);
            if (answer.status == 202) return Record.now();
            if (answer.status >= 400 && answer.status < 500 && answer.status != 429) return -1;
            Thread.sleep(500);
        }
        return -1;
    }

    /** Ends a job at each address in turn until one acknowledges it; returns the time of the 200 response, or -1. */
    double end(List<String> addresses, String job) throws InterruptedException {
        for (int attempt = 0; attempt < 6; attempt++) {
            String address = addresses.get(attempt % addresses.size());
            Http.Answer answer = Http.send(address, "DELETE", "/-/lots/" + job, Fleet.headers(host, key, null), new byte[0], 3000);
            Record.log("end of job %s sent to %s: %s", job, address, answer);
            if (answer.status == 200) return Record.now();
            Thread.sleep(200);
        }
        return -1;
    }

    /** Reads all results so far; null if no address answers with 200. */
    @SuppressWarnings("unchecked")
    List<Result> results(List<String> addresses, String job) {
        List<Result> results = new ArrayList<>();
        for (int attempt = 0; attempt < 60; attempt++) {
            String address = addresses.get(attempt % addresses.size());
            Http.Answer answer =
                Http.send(address, "GET", "/-/lots/" + job + "?After=" + results.size(), Fleet.headers(host, key, null), new byte[0], 2500);
            if (answer.status != 200 || !answer.isComplete) {
                Record.log("results of job %s read at %s: %s", job, address, answer);
                if (attempt >= 3) return null;
                continue;
            }
            List<Object> page = (List<Object>) Json.object(answer.body).get("Results");
            if (page.isEmpty()) return results;
            for (Object each : page) {
                Map<String, Object> fields = (Map<String, Object>) each;
                Result result = new Result();
                result.item = (String) fields.get("Id");
                result.state = (String) fields.get("State");
                result.output = (String) fields.get("Output");
                results.add(result);
            }
        }
        return results;
    }
}
