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
 * Routes users' requests to the handlers of submissions, statuses and cancellations. The handlers have no event loop of
 * their own: they run as part of this actor.
 */
public final class UserRequestHandler extends Actor<UserRequestHandler.Message> {
    /** The messages that this actor receives. */
    public sealed interface Message {}

    /** A user's request; {@code reply} is called once. */
    public record UserRequest(Request request, Consumer<Response> reply) implements Message {}

    /** The machine types that the cloud offers have been loaded or refreshed; they decide which jobs can run. */
    public record MachineTypesUpdated(List<MachineType> types) implements Message {}

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

    /** Whether submissions can be checked; false until the machine types have been loaded. */
    public boolean isReady() {
        return validator.isReady();
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof MachineTypesUpdated updated) {
            validator.setMachineTypes(updated.types());
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
