package notchpick.coordination.userapi;

import notchpick.model.JobStatus;
import notchpick.protocol.Json;
import notchpick.protocol.UserProtocol;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** The replies of the interface for users: HTTP status codes and JSON bodies. */
final class UserReplies {
    /** The status of a job as users see it. */
    enum DisplayedStatus {
        QUEUED("queued"),
        RUNNING("running"),
        DONE("done"),
        CANCELLED("cancelled");

        private final String text;

        DisplayedStatus(String text) {
            this.text = text;
        }

        /** How the status of a job that has ended is displayed. */
        static DisplayedStatus ofEnded(JobStatus status) {
            return status == JobStatus.DONE ? DONE : CANCELLED;
        }
    }

    /** The reason for an unavailable reply when the state store did not answer, or may not have executed a request. */
    static final String NO_STATE_STORE = "the state service does not answer";

    private static final int RETRY_AFTER_S = 1;

    private UserReplies() {}

    /** A submission has been accepted. */
    static Response accepted(String job, DisplayedStatus status) {
        return Response.of(HttpStatus.CREATED, Json.bytes(UserProtocol.status(job, status.text)));
    }

    /** A cancellation request found the job ended, or ended it. */
    static Response ended(String job, DisplayedStatus status) {
        return Response.of(HttpStatus.OK, Json.bytes(UserProtocol.status(job, status.text)));
    }

    /** The status of a job, with the counts of its tasks that are done and running. */
    static Response status(String job, DisplayedStatus status, int done, int running) {
        return Response.of(HttpStatus.OK, Json.bytes(UserProtocol.status(job, status.text, done, running)));
    }

    /** The request is malformed. */
    static Response badRequest(String message) {
        return error(HttpStatus.BAD_REQUEST, message);
    }

    /** There is no such path. */
    static Response noSuchPath() {
        return error(HttpStatus.NOT_FOUND, "no such path");
    }

    /** There is no such job. */
    static Response noSuchJob() {
        return error(HttpStatus.NOT_FOUND, "no such job");
    }

    /** The path serves another method only. */
    static Response methodNotAllowed(String allowedMethod) {
        return error(HttpStatus.METHOD_NOT_ALLOWED, "only " + allowedMethod + " is served here");
    }

    /** The request is well formed but asks for what is impossible here. */
    static Response unprocessable(String message) {
        return error(HttpStatus.UNPROCESSABLE, message);
    }

    /** The user should retry. */
    static Response unavailable(String message) {
        return Response.retryAfter(
                HttpStatus.SERVICE_UNAVAILABLE, Json.bytes(UserProtocol.error(message)), RETRY_AFTER_S);
    }

    /** A submission was rejected for this reason. */
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
