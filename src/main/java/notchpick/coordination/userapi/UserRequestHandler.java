package notchpick.coordination.userapi;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.coordination.JobOutcomes;
import notchpick.protocol.StateStoreClient;
import notchpick.scheduling.MachineType;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;

/**
 * Routes users' requests to the handlers of submissions, statuses and cancellations. All of them run in the turn of this
 * actor.
 */
public final class UserRequestHandler extends Actor<UserRequestHandler.Message> {
    /** What this actor receives. */
    public sealed interface Message {}

    /** A user's request, and where its reply goes. */
    public record UserRequest(Request request, Consumer<Response> reply) implements Message {}

    /** The machine types, by which it is judged whether a job can run. */
    public record TypesKnown(List<MachineType> types) implements Message {}

    private final SubmissionValidator validator;
    private final SubmissionHandler submissions;
    private final StatusHandler statuses;
    private final CancellationHandler cancellations;

    public UserRequestHandler(
            EventLoop loop, Deployment deployment, StateStoreClient stateStore, ProgressSource progress) {
        super(loop);
        JobOutcomes outcomes = new JobOutcomes(stateStore);
        OpenJobCache openJobs =
                new OpenJobCache(loop, stateStore, outcomes, deployment.ownStateStoreRequestsPerS(), this::schedule);
        JobReader jobs = new JobReader(openJobs, outcomes, stateStore, this::onLoop);
        this.validator = new SubmissionValidator(deployment);
        this.statuses = new StatusHandler(jobs, outcomes, progress);
        this.submissions = new SubmissionHandler(
                loop,
                validator,
                new DependencyValidator(openJobs, outcomes),
                new SubmissionBatcher(stateStore, deployment.maxTransactionWrites(), this::schedule),
                statuses);
        this.cancellations = new CancellationHandler(loop, stateStore, jobs, outcomes, this::onLoop);
    }

    /** Whether submissions can be judged. */
    public boolean isReady() {
        return validator.isReady();
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof TypesKnown known) {
            validator.setMachineTypes(known.types());
        } else if (message instanceof UserRequest request) {
            route(request.request(), request.reply());
        }
    }

    private void route(Request request, Consumer<Response> reply) {
        Optional<UserRoute> parsed = UserRoute.parse(request.path());
        if (parsed.isEmpty()) {
            reply.accept(UserReplies.noSuchPath());
            return;
        }
        UserRoute route = parsed.get();
        if (!request.method().equals(route.resource().method())) {
            reply.accept(UserReplies.methodNotAllowed(route.resource().method()));
            return;
        }
        switch (route.resource()) {
            case SUBMISSIONS -> submissions.submit(request.body(), reply);
            case JOB -> statuses.status(route.jobId(), reply);
            case CANCELLATION -> cancellations.cancel(route.jobId(), reply);
        }
    }
}
