package notchpick.coordination.userapi;

/** A submission can't be accepted; the message says why, in words for users. */
final class SubmissionRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What kind of error it is. */
    enum Reason {
        /** The submission does not follow the protocol. */
        MALFORMED,
        /** The job could never run in this deployment. */
        INFEASIBLE,
        /** This controller can't judge the submission yet. */
        NOT_READY
    }

    private final Reason reason;

    SubmissionRejectedException(Reason reason, String message) {
        super(message, null, false, false);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
