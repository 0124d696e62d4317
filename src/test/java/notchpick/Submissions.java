package notchpick;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.simulation.SimulatedCluster;

/** Sends users' submissions in tests: jobs, streams of jobs, and submissions that must be refused. */
final class Submissions {
    /** The options of a job in scenario files; each is followed by a value. */
    private static final Set<String> OPTIONS = Set.of(
            "tasks",
            "run",
            "vary",
            "needs",
            "urgency",
            "team",
            "cores",
            "gpus",
            "ram",
            "image",
            "image-length",
            "zone",
            "one-zone",
            "apart",
            "on-demand",
            "expected",
            "checkpoint-interval",
            "due",
            "types",
            "class",
            "form",
            "fails",
            "per-second",
            "for",
            "cancel");
    /** The required fields of a submission. */
    private static final List<String> REQUIRED = List.of(
            "workclass",
            "ownerDesk",
            "jobForm",
            "urgency",
            "pieces",
            "cores",
            "gpus",
            "ramGb",
            "bundle",
            "sizeGb",
            "oneZone",
            "apart",
            "borrowed",
            "expectedS",
            "bookmarkS",
            "bookmarkWriteS");

    private Submissions() {}

    /** Submits jobs at a constant rate for a while; users cancel a share of them from 0.2 to 4.2 seconds later. */
    static void stream(SimulatedCluster cluster, String prefix, Map<String, String> options)
            throws InvalidMessageException {
        double jobsPerS = Double.parseDouble(options.get("per-second"));
        int jobs = (int) (jobsPerS * Double.parseDouble(options.get("for")));
        double cancelShare = Double.parseDouble(options.getOrDefault("cancel", "0"));
        Random random = new Random(jobs);
        for (int i = 0; i < jobs; i++) {
            String id = prefix + (1000 + i);
            long submitAtMs = (long) (1000 * i / jobsPerS);
            cluster.time().schedule(submitAtMs, () -> {
                try {
                    submit(cluster, id, options);
                } catch (InvalidMessageException e) {
                    throw new IllegalArgumentException(id, e);
                }
            });
            if (random.nextDouble() < cancelShare) {
                cluster.time()
                        .schedule(
                                submitAtMs + 200 + random.nextInt(4000),
                                () -> cluster.users().cancel(id));
            }
        }
    }

    /** Resubmits a job, and sends submissions with a missing field or an invalid value to all controllers. */
    static void sendInvalid(SimulatedCluster cluster, String job) {
        cluster.users().resubmit(job);
        int number = 0;
        for (String field : REQUIRED) {
            String id = String.format("run-99%04d", number++);
            ObjectNode body = submission(id, Map.of());
            body.remove(field);
            cluster.users().submitInvalid(id, Json.bytes(body));
        }
        for (Map<String, String> invalid : List.of(
                Map.of("cores", "1000"),
                Map.of("team", "nobody"),
                Map.of("types", "m-none"),
                Map.of("zone", "nowhere"),
                Map.of("gpus", "1"),
                Map.of("tasks", "0"),
                Map.of("tasks", "100001"),
                Map.of("cores", "-1"),
                Map.of("urgency", "soon"),
                Map.of("form", "gang"))) {
            String id = String.format("run-99%04d", number++);
            cluster.users().submitInvalid(id, Json.bytes(submission(id, invalid)));
        }
    }

    /** Reads pairs of option and value, beginning with the word at the start index. */
    static Map<String, String> options(String[] words, int start) {
        Map<String, String> options = new HashMap<>();
        for (int i = start; i < words.length; i += 2) {
            if (!OPTIONS.contains(words[i])) {
                throw new IllegalArgumentException("unknown word " + words[i]);
            }
            options.put(words[i], words[i + 1]);
        }
        return options;
    }

    /** The body of a submission, with default values for options that are not set. */
    static ObjectNode submission(String job, Map<String, String> options) {
        ObjectNode body = Json.object()
                .put("ref", job)
                .put("workclass", options.getOrDefault("class", "plain"))
                .put("ownerDesk", options.getOrDefault("team", "a"))
                .put("jobForm", options.getOrDefault("form", "sweep"))
                .put("urgency", options.getOrDefault("urgency", "normal"))
                .put("pieces", Integer.parseInt(options.getOrDefault("tasks", "4")))
                .put("cores", Double.parseDouble(options.getOrDefault("cores", "1")))
                .put("gpus", Double.parseDouble(options.getOrDefault("gpus", "0")))
                .put("ramGb", Double.parseDouble(options.getOrDefault("ram", "1")))
                .put(
                        "bundle",
                        options.containsKey("image-length")
                                ? "i".repeat(Integer.parseInt(options.get("image-length")))
                                : options.getOrDefault("image", "img-1"))
                .put("sizeGb", 1.0)
                .put("site", options.get("zone"))
                .put("oneZone", options.containsKey("one-zone"))
                .put("apart", options.containsKey("apart"))
                .put("borrowed", !options.containsKey("on-demand"))
                .put("expectedS", Double.parseDouble(options.getOrDefault("expected", "20")))
                .put("bookmarkS", Double.parseDouble(options.getOrDefault("checkpoint-interval", "0")))
                .put("bookmarkWriteS", 1.0);
        if (options.containsKey("due")) {
            body.put("dueS", Double.parseDouble(options.get("due")));
        }
        if (options.containsKey("needs")) {
            ArrayNode needs = body.putArray("waitsOn");
            List.of(options.get("needs").split(",")).forEach(needs::add);
        }
        if (options.containsKey("types")) {
            body.putArray("boxKinds").add(options.get("types"));
        }
        return body;
    }

    /** Submits a job; options that are not fields of a submission, such as its run time, go to the simulation. */
    static void submit(SimulatedCluster cluster, String job, Map<String, String> options)
            throws InvalidMessageException {
        cluster.users()
                .submit(
                        submission(job, options),
                        Double.parseDouble(options.getOrDefault("run", "20")),
                        Double.parseDouble(options.getOrDefault("vary", "0")),
                        options.containsKey("fails"));
    }
}
