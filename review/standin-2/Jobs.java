package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs that users have uploaded, and how their tasks behave. */
final class Jobs {
    /** A job: its submission, how long a task runs, and whether it was submitted with a mistake. */
    record Job(ObjectNode body, double runS, boolean mistaken) {
        String id() {
            return body.path("ref").asText();
        }

        int tasks() {
            return body.path("pieces").asInt();
        }

        double cores() {
            return body.path("cores").asDouble();
        }

        double ram() {
            return body.path("ramGb").asDouble();
        }

        double saveEveryS() {
            return body.path("bookmarkS").asDouble();
        }

        double saveS() {
            return body.path("bookmarkWriteS").asDouble();
        }

        boolean allows(String zone, boolean spot) {
            return (body.path("site").isNull() || body.path("site").isMissingNode()
                            || body.path("site").asText().equals(zone))
                    && (body.path("borrowed").asBoolean() || !spot);
        }
    }

    private final Map<String, Job> jobs = new ConcurrentHashMap<>();

    void add(Job job) {
        jobs.put(job.id(), job);
    }

    Job of(String task) {
        return jobs.get(task.substring(0, task.indexOf('/')));
    }

    Iterable<Job> all() {
        return jobs.values();
    }

    /** A submission with the fields of a usual job; a test changes what it needs. */
    static ObjectNode submission(String id, String team, int tasks, double cores, double ram, double expectedS) {
        return Http.object()
                .put("ref", id)
                .put("workclass", "plain")
                .put("ownerDesk", team)
                .put("jobForm", "sweep")
                .put("urgency", "normal")
                .put("pieces", tasks)
                .put("cores", cores)
                .put("gpus", 0.0)
                .put("ramGb", ram)
                .put("bundle", "img-1")
                .put("sizeGb", 0.1)
                .putNull("boxKinds")
                .putNull("site")
                .put("oneZone", false)
                .put("apart", false)
                .put("borrowed", true)
                .put("expectedS", expectedS)
                .put("bookmarkS", 0.0)
                .put("bookmarkWriteS", 0.0)
                .putNull("dueS");
    }
}
