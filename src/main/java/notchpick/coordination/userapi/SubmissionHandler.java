package notchpick.coordination.userapi;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import notchpick.coordination.userapi.UserReplies.DisplayedStatus;
import notchpick.protocol.InvalidMessageException;
import notchpick.protocol.Json;
import notchpick.protocol.UserProtocol;
import notchpick.scheduling.JobSpec;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts submissions: validates them, checks their dependencies, and stores them before it replies. Submissions are
 * idempotent: if the job already exists, the reply is its status, even if the submission's other fields differ.
 */
final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

    private final EventLoop loop;
    private final SubmissionValidator validator;
    private final DependencyValidator dependencies;
    private final SubmissionBatcher batcher;
    private final StatusHandler statuses;

    SubmissionHandler(
            EventLoop loop,
            SubmissionValidator validator,
            DependencyValidator dependencies,
            SubmissionBatcher batcher,
            StatusHandler statuses) {
        this.loop = loop;
        this.validator = validator;
        this.dependencies = dependencies;
        this.batcher = batcher;
        this.statuses = statuses;
    }

    /** Handles a submission with this request body. */
    void submit(byte[] bytes, Consumer<Response> reply) {
        ObjectNode body = Json.object(bytes);
        String id;
        try {
            id = UserProtocol.jobId(body);
        } catch (InvalidMessageException e) {
            reply.accept(UserReplies.badRequest(e.getMessage()));
            return;
        }
        Optional<Response> ended = statuses.cachedOutcome(id);
        if (ended.isPresent()) {
            reply.accept(ended.get());
            return;
        }
        JobSpec spec;
        try {
            spec = validator.validate(body, loop.wallTimeMs());
        } catch (SubmissionRejectedException e) {
            statuses.replyOrElse(id, UserReplies.rejected(e), reply);
            return;
        }
        dependencies.check(spec, verdict -> handleVerdict(spec, verdict, reply));
    }

    private void handleVerdict(JobSpec spec, DependencyVerdict verdict, Consumer<Response> reply) {
        if (verdict instanceof DependencyVerdict.Rejected rejected) {
            statuses.replyOrElse(spec.id(), UserReplies.unprocessable(rejected.reason()), reply);
        } else if (verdict instanceof DependencyVerdict.Valid valid) {
            store(spec, valid.cancelled() ? DisplayedStatus.CANCELLED : DisplayedStatus.QUEUED, reply);
        } else {
            reply.accept(UserReplies.unavailable("the job's dependencies can't be read at the moment"));
        }
    }

    private void store(JobSpec spec, DisplayedStatus status, Consumer<Response> reply) {
        batcher.add(spec, outcome -> {
            switch (outcome) {
                case ACCEPTED -> {
                    LOG.info("job accepted: job={} tasks={} team={}", spec.id(), spec.tasks(), spec.team());
                    reply.accept(UserReplies.accepted(spec.id(), status));
                }
                case DUPLICATE -> statuses.status(spec.id(), reply);
                case RETRY_LATER -> reply.accept(UserReplies.unavailable(UserReplies.STATE_STORE_UNAVAILABLE));
            }
        });
    }
}
