package notchpick.coordination.userapi;

import notchpick.model.JobStatus;
import notchpick.protocol.Json;
import notchpick.protocol.UserProtocol;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** Builds the replies to users: HTTP status codes and JSON bodies. */
final class UserReplies {
    /** The status of a job as shown to users. */
    enum DisplayedStatus {
        QUEUED("queued"),
        RUNNING("running"),
        DONE("done"),
        CANCELLED("cancelled");

        private final String text;

        DisplayedStatus(String text) {
            this.text = text;
        }

        /** The displayed status of a job that has ended. */
        static DisplayedStatus ofEnded(JobStatus status) {
            return status == JobStatus.DONE ? DONE : CANCELLED;
        }
    }

    /** The reason given to users if the state store did not answer, or may not have executed a request. */
    static final String STATE_STORE_UNAVAILABLE = "the state store is unavailable";

    private static final int RETRY_AFTER_S = 1;

    private UserReplies() {}

    /** The reply to a submission that has been stored. */
    static Response accepted(String job, DisplayedStatus status) {
        return Response.of(HttpStatus.CREATED, Json.bytes(UserProtocol.status(job, status.text)));
    }

    /** The reply to a cancellation, whether the job had ended before or is now cancelled. */
    static Response ended(String job, DisplayedStatus status) {
        return Response.of(HttpStatus.OK, Json.bytes(UserProtocol.status(job, status.text)));
    }

    /** The reply with a job's status and the numbers of its tasks that are done and running. */
    static Response status(String job, DisplayedStatus status, int done, int running) {
        return Response.of(HttpStatus.OK, Json.bytes(UserProtocol.status(job, status.text, done, running)));
    }

    /** The reply to a malformed request. */
    static Response badRequest(String message) {
        return error(HttpStatus.BAD_REQUEST, message);
    }

    /** The reply if nothing is served at the path. */
    static Response noSuchPath() {
        return error(HttpStatus.NOT_FOUND, "no such path");
    }

    /** The reply if the job does not exist. */
    static Response noSuchJob() {
        return error(HttpStatus.NOT_FOUND, "no such job");
    }

    /** The reply if the path is served, but with another method. */
    static Response methodNotAllowed(String allowedMethod) {
        return error(HttpStatus.METHOD_NOT_ALLOWED, "only " + allowedMethod + " is allowed for this path");
    }

    /** The reply to a well-formed request that this deployment can never fulfil. */
    static Response unprocessable(String message) {
        return error(HttpStatus.UNPROCESSABLE, message);
    }

    /** The reply if the request may succeed later; it asks the client to retry. */
    static Response unavailable(String message) {
        return Response.retryAfter(
                HttpStatus.SERVICE_UNAVAILABLE, Json.bytes(UserProtocol.error(message)), RETRY_AFTER_S);
    }

    /** The reply to a submission that was rejected. */
    static Response rejected(SubmissionRejectedException rejection) {
        return switch (rejection.reason()) {
            case MALFORMED -> badRequest(rejection.getMessage());
            case INFEASIBLE -> unprocessable(rejection.getMessage());
            case NOT_READY -> unavailable(rejection.getMessage());
        };
    }

    private static Response error(int status, String message) {
        return Response.of(status, Json.bytes(UserProtocol.error(message)));
    }
}
