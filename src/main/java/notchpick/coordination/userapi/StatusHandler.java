package notchpick.coordination.userapi;

import java.util.Optional;
import java.util.function.Consumer;
import notchpick.coordination.JobOutcomes;
import notchpick.coordination.userapi.JobLookup.Found;
import notchpick.coordination.userapi.JobLookup.Unavailable;
import notchpick.coordination.userapi.UserReplies.DisplayedStatus;
import notchpick.model.JobRecord;
import notchpick.model.JobStatus;
import notchpick.protocol.UserProtocol;
import notchpick.protocol.peer.Progress;
import notchpick.transport.HttpCaller.Response;

/** Replies to requests for the status of a job. */
final class StatusHandler {
    private final JobReader jobs;
    private final JobOutcomes outcomes;
    private final ProgressSource progress;

    StatusHandler(JobReader jobs, JobOutcomes outcomes, ProgressSource progress) {
        this.jobs = jobs;
        this.outcomes = outcomes;
        this.progress = progress;
    }

    /** Replies with the status of a job. */
    void status(String id, Consumer<Response> reply) {
        if (!UserProtocol.isJobId(id)) {
            reply.accept(UserReplies.noSuchJob());
            return;
        }
        Optional<Response> ended = cachedOutcome(id);
        if (ended.isPresent()) {
            reply.accept(ended.get());
            return;
        }
        replyOrElse(id, UserReplies.noSuchJob(), reply);
    }

    /** The reply for a job whose outcome is cached: an outcome never changes, so the state store need not be read. */
    Optional<Response> cachedOutcome(String id) {
        return outcomes.cached(id).map(record -> response(id, record));
    }

    /** Replies with the status of a job, or with {@code ifNotFound} if it does not exist. */
    void replyOrElse(String id, Response ifNotFound, Consumer<Response> reply) {
        jobs.read(id, lookup -> {
            if (lookup instanceof Found found) {
                reply.accept(response(id, found.record()));
            } else if (lookup instanceof Unavailable unavailable) {
                reply.accept(UserReplies.unavailable(unavailable.reason()));
            } else {
                reply.accept(ifNotFound);
            }
        });
    }

    private Response response(String id, JobRecord job) {
        if (job.status() != JobStatus.OPEN) {
            return UserReplies.status(id, DisplayedStatus.ofEnded(job.status()), job.done(), 0);
        }
        Optional<Progress> counts = progress.progress(id);
        int done = counts.map(Progress::getDone).orElse(0);
        int running = counts.map(Progress::getRunning).orElse(0);
        return UserReplies.status(id, running > 0 ? DisplayedStatus.RUNNING : DisplayedStatus.QUEUED, done, running);
    }
}
