package notchpick.coordination.userapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import notchpick.coordination.Deployment;
import notchpick.coordination.JobOutcomes;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Conflict;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Missing;
import notchpick.protocol.StateStoreClient.Ok;
import notchpick.protocol.StateStoreClient.Transaction;
import notchpick.protocol.UserProtocol;
import notchpick.protocol.peer.Progress;
import notchpick.scheduling.JobSpec;
import notchpick.scheduling.MachineType;
import notchpick.storage.Records;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/**
 * Answers users, at every controller alike: what has been accepted, cancelled or done is written to the
 * state service, and read from it after the question came, never taken from a copy that may lag.
 */
public final class UserRequestHandler extends Actor<UserRequestHandler.Message> {
    /** What this actor is told. */
    public sealed interface Message {}

    /** A user's request, and where its answer goes. */
    public record UserRequest(Request call, Consumer<Response> reply) implements Message {}

    /** The machine types, by which it is judged whether a job can run. */
    public record TypesKnown(List<MachineType> types) implements Message {}

    private static final int RETRY_AFTER_S = 1;

    private final Deployment deployment;
    private final StateStoreClient state;
    private final Function<String, Progress> progress;
    private final JobOutcomes outcomes;
    private final OpenJobCache open;
    private final DependencyValidator prerequisites;
    private final SubmissionBatcher acceptances;
    private List<MachineType> types;

    public UserRequestHandler(
            EventLoop loop, Deployment deployment, StateStoreClient state, Function<String, Progress> progress) {
        super(loop);
        this.deployment = deployment;
        this.state = state;
        this.progress = progress;
        this.outcomes = new JobOutcomes(state);
        this.open = new OpenJobCache(loop, state, outcomes, deployment.requestsPerS(), this::after);
        this.prerequisites = new DependencyValidator(open, outcomes);
        this.acceptances = new SubmissionBatcher(state, deployment.writesAtOnce(), this::after);
    }

    public boolean ready() {
        return types != null;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof TypesKnown known) {
            types = known.types();
        } else if (message instanceof UserRequest request) {
            serve(request.call(), request.reply());
        }
    }

    private void serve(Request call, Consumer<Response> reply) {
        String path = call.path().split("\\?", 2)[0];
        String[] parts = path.split("/", -1);
        boolean post = call.method().equals("POST");
        if (parts.length == 2 && parts[1].equals("submissions")) {
            if (post) {
                submit(call.body(), reply);
            } else {
                reply.accept(error(405, "only POST is served here"));
            }
        } else if (parts.length == 3 && parts[1].equals("submissions")) {
            if (call.method().equals("GET")) {
                poll(parts[2], reply);
            } else {
                reply.accept(error(405, "only GET is served here"));
            }
        } else if (parts.length == 4 && parts[1].equals("submissions") && parts[3].equals("abort")) {
            if (post) {
                cancel(parts[2], reply, 3);
            } else {
                reply.accept(error(405, "only POST is served here"));
            }
        } else {
            reply.accept(error(404, "no such path"));
        }
    }

    private void submit(byte[] bytes, Consumer<Response> reply) {
        ObjectNode body = Json.object(bytes);
        String id;
        try {
            if (body == null) {
                throw new InvalidMessageException("the body must be a JSON object");
            }
            id = UserProtocol.jobId(body);
        } catch (InvalidMessageException e) {
            reply.accept(error(400, e.getMessage()));
            return;
        }
        JobRecord known = outcomes.known(id);
        if (known != null) {
            reply.accept(status(id, known));
            return;
        }
        JobSpec spec;
        try {
            spec = UserProtocol.submission(body, loop.wallTimeMs());
        } catch (InvalidMessageException e) {
            unlessKnown(id, error(400, e.getMessage()), reply);
            return;
        }
        if (types == null) {
            unlessKnown(id, later("the machine types are not known yet"), reply);
            return;
        }
        if (Records.specBytes(spec) > deployment.valueBytes()) {
            unlessKnown(
                    id,
                    error(
                            400,
                            "class, team, image, types and the jobs that it waits on are too long: "
                                    + "a description may take " + deployment.valueBytes() + " bytes"),
                    reply);
            return;
        }
        String obstacle = obstacle(spec);
        if (obstacle != null) {
            unlessKnown(id, error(422, obstacle), reply);
            return;
        }
        prerequisites.check(spec, verdict -> {
            if (!verdict.readable()) {
                reply.accept(later("the jobs that it waits on can't be read now"));
            } else if (verdict.obstacle() != null) {
                unlessKnown(id, error(422, verdict.obstacle()), reply);
            } else {
                accept(spec, verdict.doomed() ? "cancelled" : "queued", reply);
            }
        });
    }

    private void accept(JobSpec spec, String status, Consumer<Response> reply) {
        acceptances.add(spec, outcome -> {
            switch (outcome) {
                case ACCEPTED -> {
                    log.info("job {} accepted: {} tasks of {}", spec.id(), spec.tasks(), spec.team());
                    reply.accept(new Response(201, Json.bytes(UserProtocol.status(spec.id(), status))));
                }
                case KNOWN -> poll(spec.id(), reply);
                case REFUSED -> reply.accept(later("the state service does not answer"));
            }
        });
    }

    /** Why the job can never run, or null. */
    private String obstacle(JobSpec spec) {
        Deployment.Quota quota = deployment.quota(spec.team());
        if (quota == null) {
            return "unknown team";
        }
        if (!quota.allows(spec.demand().times(spec.isService() ? spec.tasks() : 1))) {
            return "more than the team's limit";
        }
        for (MachineType type : types) {
            if (spec.allowsType(type.name())
                    && spec.demand().fitsIn(type.size())
                    && (spec.zone() == null || type.zones().contains(spec.zone()))) {
                return null;
            }
        }
        return "a task fits no allowed machine type";
    }

    private void unlessKnown(String id, Response otherwise, Consumer<Response> reply) {
        read(id, reply, job -> reply.accept(job == null ? otherwise : status(id, job.record())));
    }

    private void poll(String id, Consumer<Response> reply) {
        if (!UserProtocol.isJobId(id)) {
            reply.accept(error(404, "no such job"));
            return;
        }
        JobRecord known = outcomes.known(id);
        if (known != null) {
            reply.accept(status(id, known));
            return;
        }
        unlessKnown(id, error(404, "no such job"), reply);
    }

    private void cancel(String id, Consumer<Response> reply, int tries) {
        if (!UserProtocol.isJobId(id)) {
            reply.accept(error(404, "no such job"));
            return;
        }
        read(id, reply, job -> {
            if (job == null) {
                reply.accept(error(404, "no such job"));
                return;
            }
            if (job.record().status() != JobStatus.OPEN) {
                reply.accept(new Response(
                        200,
                        Json.bytes(UserProtocol.status(id, word(job.record().status())))));
                return;
            }
            JobRecord cancelled = job.record().cancelled(loop.wallTimeMs());
            Transaction transaction = new Transaction()
                    .guard(Records.OPEN + id, job.version())
                    .put(Records.JOB + id, Records.job(cancelled))
                    .delete(Records.OPEN + id);
            state.commit(transaction, here(result -> {
                if (result instanceof Ok<Long>) {
                    log.info("job {} cancelled", id);
                    outcomes.note(id, cancelled);
                    reply.accept(new Response(200, Json.bytes(UserProtocol.status(id, "cancelled"))));
                } else if (result instanceof Conflict<Long> && tries > 1) {
                    cancel(id, reply, tries - 1);
                } else {
                    reply.accept(later("the state service does not answer"));
                }
            }));
        });
    }

    /** @param version of the job's description, while it is open */
    private record Known(JobRecord record, long version) {}

    /**
     * Reads how a job stands; gives null if there surely is none, answers 503 if it can't be told. Open jobs
     * are looked at first: what is not among them is over, and says so, or there is none.
     */
    private void read(String id, Consumer<Response> reply, Consumer<Known> then) {
        open.ask(id, told -> {
            if (!told.known()) {
                reply.accept(later("the state service does not answer"));
            } else if (told.open() != null) {
                JobRecord record = told.open().record();
                then.accept(new Known(
                        told.doomed() ? record.cancelled(0) : record,
                        told.open().version()));
            } else if (!state.hasSpare()) {
                reply.accept(later("too many ask at once"));
            } else {
                state.get(Records.JOB + id, here(ended -> {
                    if (ended instanceof Ok<Entry> ok) {
                        JobRecord record = Records.job(ok.value().value());
                        outcomes.note(id, record);
                        then.accept(new Known(record, 0));
                    } else if (ended instanceof Missing<Entry>) {
                        then.accept(null);
                    } else {
                        reply.accept(later("the state service does not answer"));
                    }
                }));
            }
        });
    }

    private Response status(String id, JobRecord job) {
        if (job.status() != JobStatus.OPEN) {
            return new Response(200, Json.bytes(UserProtocol.status(id, word(job.status()), job.done(), 0)));
        }
        Progress shown = progress.apply(id);
        int done = shown == null ? 0 : shown.getDone();
        int running = shown == null ? 0 : shown.getRunning();
        return new Response(
                200, Json.bytes(UserProtocol.status(id, running > 0 ? "running" : "queued", done, running)));
    }

    private static String word(JobStatus fate) {
        return fate == JobStatus.DONE ? "done" : "cancelled";
    }

    private static Response error(int status, String message) {
        JsonNode body = UserProtocol.error(message);
        return new Response(status, Json.bytes(body));
    }

    private static Response later(String message) {
        return new Response(503, Json.bytes(UserProtocol.error(message)), RETRY_AFTER_S);
    }
}
